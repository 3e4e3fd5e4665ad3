"""Ticks the schedulers of the owned shards and sends their statuses to the leader."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

import anyio

from dapplewick.controller.record_follower import RecordFollower
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.status_confirmations import StatusConfirmationTable
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol import peers
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.transport.peer import PeerLink
from dapplewick.types import NEVER_S, ControllerName, Seconds, ShardName

log = logging.getLogger(__name__)

# Records up to this age count as current: a watch responds sooner, except in an outage.
MAX_CURRENT_RECORD_AGE_S = 6.0
# The delay between ticks is the duration of the last round times TICK_DELAY_FACTOR, within these
# limits. A longer delay does not delay tasks, since a heartbeat also launches tasks that no tick
# has assigned to a machine's queue yet.
MIN_TICK_DELAY_S = 0.2
MAX_TICK_DELAY_S = 0.5
TICK_DELAY_FACTOR = 40.0
NO_SHARD_POLL_INTERVAL_S = 0.5  # while this process owns no shard
UNCHANGED_STATUS_INTERVAL_S = 1.5  # between statuses of a shard without changes
# A status is due after this fraction of its interval, since the delays between ticks vary.
STATUS_DUE_FRACTION = 0.9


class ShardLoop:
    """Ticks the schedulers periodically and sends their statuses to the leader."""

    def __init__(
        self,
        identity: Identity,
        records: RecordFollower,
        schedulers: Mapping[ShardName, ShardScheduler],
        leadership: Leadership,
        confirmations: StatusConfirmationTable,
        links: Mapping[ControllerName, PeerLink],
        *,
        now: Callable[[], Seconds],
        wall_time: Callable[[], Seconds],
    ) -> None:
        self._identity = identity
        self._records = records
        self._schedulers = schedulers
        self._leadership = leadership
        self._confirmations = confirmations
        self._links = links
        self._now = now
        self._wall_time = wall_time
        self._status_sent_at: dict[ShardName, Seconds] = {}

    async def run(self) -> None:
        """Tick until cancelled. A failing scheduler is logged and does not affect the others."""
        tick_delay_s = MIN_TICK_DELAY_S
        while True:
            await anyio.sleep(tick_delay_s if self._schedulers else NO_SHARD_POLL_INTERVAL_S)
            now = self._now()
            for name, scheduler in list(self._schedulers.items()):
                try:
                    self._tick(now, name, scheduler, tick_delay_s)
                except Exception:
                    log.exception("event=shard_tick_failed shard=%s", name)
            tick_delay_s = max(
                MIN_TICK_DELAY_S, min(MAX_TICK_DELAY_S, TICK_DELAY_FACTOR * (self._now() - now))
            )

    def _tick(
        self, now: Seconds, name: ShardName, scheduler: ShardScheduler, tick_delay_s: float
    ) -> None:
        scheduler.tick(
            now, self._wall_time(), now - self._records.current_at < MAX_CURRENT_RECORD_AGE_S
        )
        status_interval_s = tick_delay_s if scheduler.dirty else UNCHANGED_STATUS_INTERVAL_S
        if now - self._status_sent_at.get(name, NEVER_S) >= status_interval_s * STATUS_DUE_FRACTION:
            self._status_sent_at[name] = now
            self.send_status(now, scheduler)

    def send_status(self, now: Seconds, scheduler: ShardScheduler) -> None:
        """Send a shard's status to the leader, or wake the leader's loop in this process."""
        if self._leadership.planner is not None:
            # The leader's pass reads the statuses of its own shards directly.
            self._leadership.pass_wake.set()
            return
        record = self._records.cache.leader
        link = self._links.get(ControllerName(record.controller)) if record is not None else None
        if link is not None:
            base = self._confirmations.confirmed_number(scheduler.shard, scheduler.token)
            status = scheduler.status(now, base)
            status.controller, status.version = self._identity.name, CURRENT_FORMAT
            link.post(f"{status.kind}:{scheduler.shard}", peers.encode(status))
