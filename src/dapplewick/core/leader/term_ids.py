"""Names that no other term of leadership gives out."""

from __future__ import annotations

from dapplewick.types import IDS_PER_TOKEN, Attempt, FencingToken


class TermIds:
    """Attempt numbers and request names made of the leader's fencing token and a counter.

    A token is never given out twice, so neither is an attempt or a name; the token may grow within
    a term, since the leader's own record is written anew after a write of unknown outcome.
    """

    def __init__(self, token: FencingToken) -> None:
        self.token = token
        self._count = 0

    def next_attempt(self) -> Attempt:
        """The number of a gang's next attempt."""
        self._count += 1
        return Attempt(self.token * IDS_PER_TOKEN + self._count)

    def next_request_name(self) -> str:
        """The name of the next provisioning request."""
        self._count += 1
        return f"r-{self.token}-{self._count}"
