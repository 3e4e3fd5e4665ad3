"""Identifiers that are unique across terms of leadership."""

from __future__ import annotations

from dapplewick.types import IDS_PER_TOKEN, Attempt, FencingToken


class TermIdGenerator:
    """Generates attempt numbers and request names from the leader's fencing token and a counter.

    A fencing token is never issued twice, so attempt numbers and request names are unique. The
    token may grow within a term, because the leader's own record is written again after a write of
    unknown outcome.
    """

    def __init__(self, token: FencingToken) -> None:
        self.token = token
        self._count = 0

    def next_attempt(self) -> Attempt:
        """Return a number for a gang's next attempt."""
        self._count += 1
        return Attempt(self.token * IDS_PER_TOKEN + self._count)

    def next_request_name(self) -> str:
        """Return a name for the next provisioning request."""
        self._count += 1
        return f"r-{self.token}-{self._count}"
