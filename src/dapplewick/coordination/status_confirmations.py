"""Which shard statuses of this controller the current leader has received."""

from __future__ import annotations

from typing import NamedTuple

from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, ShardName


class Confirmation(NamedTuple):
    """A leader's confirmation that it has received a shard's statuses up to a number."""

    token: FencingToken  # of the owner that sent the status
    incarnation: str  # of the leader
    number: int  # of the newest status that the leader has received


NOTHING_CONFIRMED = Confirmation(FencingToken(0), "", 0)


class StatusConfirmationTable:
    """The newest confirmation for each shard that this controller owns.

    Attributes:
        confirmed: the newest confirmation, by shard.
    """

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self.confirmed: dict[ShardName, Confirmation] = {}

    def confirm(self, shard: ShardName, confirmation: Confirmation) -> None:
        """Record a leader's confirmation. It is valid only for the incarnation that sent it."""
        self.confirmed[shard] = confirmation

    def confirmed_number(self, shard: ShardName, token: FencingToken) -> int:
        """The number of the newest status under `token` that the current leader has confirmed.

        0 if it has confirmed none.
        """
        confirmation = self.confirmed.get(shard, NOTHING_CONFIRMED)
        leader = self._cache.leader
        is_current = (
            confirmation.token == token
            and leader is not None
            and leader.incarnation == confirmation.incarnation
        )
        return confirmation.number if is_current else 0
