"""The base of all errors of the package."""

from __future__ import annotations


class DapplewickError(Exception):
    """Something that this package cannot do; each kind says what it means for the caller."""
