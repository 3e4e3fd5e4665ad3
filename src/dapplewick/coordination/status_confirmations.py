"""Up to which status of a shard the present leader has them."""

from __future__ import annotations

from typing import NamedTuple

from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, ShardName


class Confirmation(NamedTuple):
    """The newest status of a shard that a leader has confirmed."""

    token: FencingToken  # of the owner that sent it
    incarnation: str  # of the leader
    number: int


NOTHING_CONFIRMED = Confirmation(FencingToken(0), "", 0)


class StatusConfirmations:
    """The confirmations of the statuses of this controller's shards."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self.confirmed: dict[ShardName, Confirmation] = {}

    def confirm(self, shard: ShardName, confirmation: Confirmation) -> None:
        """A leader has this shard's statuses up to a number; another incarnation has none."""
        self.confirmed[shard] = confirmation

    def confirmed_number(self, shard: ShardName, token: FencingToken) -> int:
        """The number of the newest status under `token` that the present leader has confirmed."""
        confirmation = self.confirmed.get(shard, NOTHING_CONFIRMED)
        leader = self._cache.leader
        is_same_pair = (
            confirmation.token == token
            and leader is not None
            and leader.incarnation == confirmation.incarnation
        )
        return confirmation.number if is_same_pair else 0
