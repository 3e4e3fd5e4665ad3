"""The time since the leader's last contact with the owner of each shard.

All decisions that depend on this time are made here. An owner's presence record shows only that the
owner reaches the state service; its statuses show that it reaches the leader.
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

MAX_STATUS_AGE_S = 6.0  # older statuses are not used to decide on capacity
# A shard is assigned to another owner if the leader has had no contact with its owner for longer
# than this.
# The timeout is long because a reassignment loses the shard's gang reservations, and because peers
# commonly refuse messages for some seconds.
OWNER_CONTACT_TIMEOUT_S = 30.0
# A shard without contact has to be reassigned within this many planning passes plus one per shard;
# otherwise an invariant is violated.
MAX_REASSIGNMENT_PASSES = 20


def is_fresh(now: Seconds, shard: ObservedShard) -> bool:
    """Whether a shard's latest status is recent enough to assign work to the shard."""
    return now - shard.received_at <= MAX_STATUS_AGE_S


class _OwnerTerm(NamedTuple):
    """An owner's fencing token, and when the leader first recorded it in its present term."""

    token: FencingToken
    recorded_at: Seconds


class ShardContacts:
    """Tracks the time since the last contact with the owner of each shard."""

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
        self._owners: dict[ShardName, _OwnerTerm] = {}
        self._passes_without_contact: dict[ShardName, int] = {}
        self._invariants = invariants

    def record_owners(self, now: Seconds) -> None:
        """Record when each shard got its present owner, which may not have sent a status yet."""
        for name in self._owned_by_record():
            token = FencingToken(self._cache.version(SHARDS + name))
            owner = self._owners.get(name)
            if owner is None or owner.token != token:
                self._owners[name] = _OwnerTerm(token, now)
                self._passes_without_contact.pop(name, None)

    def all_fresh(self, now: Seconds) -> bool:
        """Whether there are owned shards, and all of them have a recent status."""
        names = self._owned_by_record()
        fresh = {shard.shard for shard in self._shards.owned() if is_fresh(now, shard)}
        return bool(names) and fresh.issuperset(names)

    def contact_age_s(self, now: Seconds, name: ShardName) -> Seconds:
        """The time since the shard owner's latest status, or since it became the owner if later.

        It is 0 for a shard whose owner was not recorded yet.
        """
        owner = self._owners.get(name)
        if owner is None:
            return 0.0
        shard = self._shards.by_name.get(name)
        if shard is None or shard.token != owner.token or shard.status_number == 0:
            return now - owner.recorded_at
        return now - max(owner.recorded_at, shard.received_at)

    def shards_without_contact(self, now: Seconds) -> set[ShardName]:
        """The shards to reassign, because the leader has no contact with their owner."""
        return {
            name
            for name in self._owned_by_record()
            if self.contact_age_s(now, name) > OWNER_CONTACT_TIMEOUT_S
        }

    def check(self, now: Seconds) -> None:
        """Check the invariant that a shard without contact is reassigned in time.

        To be called once in each planning pass whose writes can be stored. A violation is logged
        and counted, and the service continues.
        """
        without_contact = self.shards_without_contact(now)
        for name in [name for name in self._passes_without_contact if name not in without_contact]:
            del self._passes_without_contact[name]
        for name in sorted(without_contact):
            passes = self._passes_without_contact[name] = (
                self._passes_without_contact.get(name, 0) + 1
            )
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
