"""Errors of messages that break a protocol."""

from __future__ import annotations

from dapplewick.errors import DapplewickError


class MalformedMessageError(DapplewickError):
    """A user's or worker's body that breaks the protocol: refused, and nothing of it is done.

    The text is a short reason, which the user is given; it names the field where one is at fault.
    """
