"""Errors of messages that break a protocol."""

from __future__ import annotations


class MalformedMessageError(Exception):
    """A body that breaks the protocol; the text is a short reason."""
