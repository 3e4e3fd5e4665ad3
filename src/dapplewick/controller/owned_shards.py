"""The shards that the records assign to this controller."""

from __future__ import annotations

import logging

from dapplewick.config import Deployment
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.shard_assignment import ShardAssigner
from dapplewick.core.estimates import Estimates
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.storage.keys import SHARDS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import FencingToken, Seconds, ShardName

log = logging.getLogger(__name__)


class OwnedShards:
    """Holds a scheduler for each shard that the records assign to this incarnation."""

    def __init__(
        self,
        identity: Identity,
        cache: WatchCache,
        assigner: ShardAssigner,
        estimates: Estimates,
        deployment: Deployment,
        tuning: Tuning,
    ) -> None:
        self._identity = identity
        self._cache = cache
        self._assigner = assigner
        self._estimates = estimates
        self._deployment = deployment
        self._tuning = tuning
        self.schedulers: dict[ShardName, ShardScheduler] = {}

    def update(self, now: Seconds) -> None:
        """Create and drop schedulers by the owners in the records.

        Each new fencing token of an owned shard gets a new scheduler.
        """
        for name in dict.fromkeys([*self.schedulers, *self._assigner.shards()]):
            token = FencingToken(self._cache.version(SHARDS + name))
            owned = self._is_owned(name)
            scheduler = self.schedulers.get(name)
            if scheduler is not None and (not owned or scheduler.token != token):
                del self.schedulers[name]
                log.info("event=shard_lost shard=%s token=%d", name, scheduler.token)
            if owned and (scheduler is None or scheduler.token != token):
                self.schedulers[name] = self._new_scheduler(name, token, now)
                log.info("event=shard_acquired shard=%s token=%d", name, token)

    def _is_owned(self, name: ShardName) -> bool:
        record = self._cache.shards.get(name)
        return (
            record is not None
            and record.owner == self._identity.name
            and record.incarnation == self._identity.incarnation
        )

    def _new_scheduler(self, name: ShardName, token: FencingToken, now: Seconds) -> ShardScheduler:
        return ShardScheduler(
            name,
            token,
            self._cache,
            self._estimates,
            now,
            tuning=self._tuning,
            classes_with_objectives=self._deployment.classes_with_objectives(),
            lease_s=self._deployment.workers.lease_s,
            heartbeat_interval_s=self._deployment.workers.report_s,
        )
