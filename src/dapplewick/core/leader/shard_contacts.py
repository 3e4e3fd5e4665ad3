"""How long ago the leader heard the owner of each shard, and what may rest on that.

This is the one place that decides on it. An owner's presence says that it reaches the state
service; only its statuses say that it reaches the leader.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.invariants import Invariant, InvariantCounts
from dapplewick.core.leader.observed_shard import ObservedShard, ObservedShards
from dapplewick.storage.keys import SHARDS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, Seconds, ShardName, zone_of

log = logging.getLogger(__name__)

FRESH_STATUS_S = 6.0  # no decision on capacity rests on a status that is older
# A shard that is unheard for longer gets another owner. A move costs the reservations of its gangs,
# and peers that refuse for some seconds are common, so it is not made at once.
OWNER_CONTACT_TIMEOUT_S = 30.0
MAX_REASSIGNMENT_PASSES = (
    20  # planning passes, beside one for each shard, in which that has to have happened
)


def is_fresh(now: Seconds, shard: ObservedShard) -> bool:
    """Whether a shard's newest status is new enough to give it work."""
    return now - shard.received_at <= FRESH_STATUS_S


class _OwnerSeen(NamedTuple):
    """An owner's fencing token, and when this term of leadership saw it first."""

    token: FencingToken
    at: Seconds


class ShardContacts:
    """The age of what the leader knows of each shard that has an owner."""

    def __init__(
        self,
        cache: WatchCache,
        zones: Iterable[str],
        shards: ObservedShards,
        invariants: InvariantCounts,
    ) -> None:
        self._cache = cache
        self._zones = frozenset(zones)
        self._shards = shards
        self._owners_seen: dict[ShardName, _OwnerSeen] = {}
        self._unheard_passes: dict[ShardName, int] = {}
        self._invariants = invariants

    def record_owners(self, now: Seconds) -> None:
        """Note since when each shard has its owner: a new one has yet to tell of itself."""
        for name in self._owned_by_record():
            token = FencingToken(self._cache.version(SHARDS + name))
            seen = self._owners_seen.get(name)
            if seen is None or seen.token != token:
                self._owners_seen[name] = _OwnerSeen(token, now)
                self._unheard_passes.pop(name, None)

    def all_fresh(self, now: Seconds) -> bool:
        """Whether there are shards, and each that has an owner was heard just now."""
        names = self._owned_by_record()
        fresh = {shard.shard for shard in self._shards.owned() if is_fresh(now, shard)}
        return bool(names) and fresh.issuperset(names)

    def contact_age_s(self, now: Seconds, name: ShardName) -> Seconds:
        """How long ago the shard's owner was heard, or else became its owner."""
        seen = self._owners_seen.get(name)
        if seen is None:
            return 0.0
        shard = self._shards.by_name.get(name)
        if shard is None or shard.token != seen.token or shard.status_number == 0:
            return now - seen.at
        return now - max(seen.at, shard.received_at)

    def shards_without_contact(self, now: Seconds) -> set[ShardName]:
        """The shards that want another owner, since the leader can't hear the one they have."""
        return {
            name
            for name in self._owned_by_record()
            if self.contact_age_s(now, name) > OWNER_CONTACT_TIMEOUT_S
        }

    def check(self, now: Seconds) -> None:
        """Assert, once in each pass that could write, that no shard stays unheard.

        A violation is logged and counted, and the service goes on.
        """
        unheard = self.shards_without_contact(now)
        for name in [name for name in self._unheard_passes if name not in unheard]:
            del self._unheard_passes[name]
        for name in sorted(unheard):
            passes = self._unheard_passes[name] = self._unheard_passes.get(name, 0) + 1
            if passes == MAX_REASSIGNMENT_PASSES + len(self._cache.shards):
                self._invariants.record_violation(Invariant.SHARDS_IN_CONTACT)
                log.error(
                    "event=shard_left_unheard shard=%s token=%d controller=%s unheard_s=%.1f",
                    name,
                    self._cache.version(SHARDS + name),
                    self._cache.shards[name].owner,
                    self.contact_age_s(now, name),
                )

    def _owned_by_record(self) -> list[ShardName]:
        return [name for name in self._cache.shards if zone_of(name) in self._zones]
