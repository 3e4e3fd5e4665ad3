"""Base class of the errors that the package raises."""

from __future__ import annotations


class DapplewickError(Exception):
    """Base class; each subclass documents what the error means for its caller."""
