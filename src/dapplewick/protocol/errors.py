"""Errors for messages that violate a protocol."""

from __future__ import annotations

from dapplewick.errors import DapplewickError


class MalformedMessageError(DapplewickError):
    """The body of a user's or worker's request violates the protocol; it is refused as a whole.

    The message is a short reason that is returned to users; it names the invalid field, if any.
    """
