"""Keeps the watch cache up to date and tracks its age."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio

from dapplewick.controller.budgets import Budgets
from dapplewick.controller.record_change_notifier import RecordChangeNotifier
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.wake import WakeSignal
from dapplewick.storage.errors import (
    OutcomeUnknownError,
    RequestRefusedError,
    RevisionCompactedError,
)
from dapplewick.storage.job_records import CANCELLED
from dapplewick.storage.keys import JOBS, ROOT
from dapplewick.storage.read_coalescer import ReadCoalescer
from dapplewick.storage.state_client import StateClient
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, Seconds

log = logging.getLogger(__name__)

WATCH_TIMEOUT_MS = 4000
STANDBY_WATCH_DELAY_S = 0.4  # for a controller that neither leads nor owns a shard


class RecordFollower:
    """Loads all records once, then watches them for changes.

    Attributes:
        cache: the watch cache, a copy of the records.
        ready: whether the records have been read at least once.
        current_at: the watch cache holds all changes stored up to this time of the monotonic clock.
        contact_at: when the state service last responded, by the monotonic clock.
        now: returns the time of the monotonic clock, in seconds.
    """

    def __init__(
        self,
        identity: Identity,
        state: StateClient,
        cache: WatchCache,
        notifier: RecordChangeNotifier,
        *,
        budgets: Budgets,
        gossip_wake: WakeSignal,
        now: Callable[[], Seconds],
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._state = state
        self.cache = cache
        self._notifier = notifier
        self._watch_delay_s = budgets.watch_delay_s
        self._gossip_wake = gossip_wake
        self.now = now
        self._random = rng
        self.ready = False
        self.current_at: Seconds = NEVER_S
        self.contact_at: Seconds = NEVER_S
        self._changed_keys: list[str] = []
        self._read_checks = ReadCoalescer(
            lambda: self._poll_changes(0), now, budgets.check_interval_s
        )
        cache.listeners.append(self._on_key_changed)

    async def wait_until_current(self) -> Seconds:
        """Wait until the watch cache holds all changes stored before this call.

        Returns:
            When the changes were requested, by the monotonic clock.

        Raises:
            RequestRefusedError: the changes could not be read.
        """
        return await self._read_checks.current()

    async def run_checks(self) -> None:
        """Perform the freshness checks for callers of `wait_until_current`, until cancelled."""
        await self._read_checks.run()

    async def run_watch(self) -> None:
        """Load the records, then watch them for changes until cancelled."""
        while True:
            try:
                if not self.ready:
                    await self._load()
                await self._poll_changes(WATCH_TIMEOUT_MS)
                # The next watch returns all changes of this delay at once, which saves requests.
                is_active = self._notifier.is_active()
                await anyio.sleep(self._watch_delay_s if is_active else STANDBY_WATCH_DELAY_S)
            except (RequestRefusedError, OutcomeUnknownError) as err:
                log.debug("event=watch_failed error=%s", err)
                await anyio.sleep(0.2 + self._random.random() * 0.3)

    def mark_contact(self) -> None:
        """Record that the state service has just responded."""
        self.contact_at = self.now()

    def apply_stored_write(self, key: str, value: object, version: int) -> None:
        """Apply a stored write of this process to the watch cache and pass on the changes."""
        self.cache.put(key, value, version)
        if key.startswith(JOBS) and isinstance(value, dict) and value.get("stage") == CANCELLED:
            # Gossip lets shard owners that can't read the records stop the job's tasks sooner.
            # Correctness does not depend on it.
            self._gossip_wake.set()
        self.apply_changed()

    def apply_changed(self) -> None:
        """Notify the schedulers and the planner of records that changed in the watch cache."""
        if not self._changed_keys:
            return
        keys, self._changed_keys = dict.fromkeys(self._changed_keys), []
        machines = dict.fromkeys(self.cache.changed_machines)
        self.cache.changed_machines.clear()
        self._notifier.notify(self.now(), keys, machines)

    def _on_key_changed(self, key: str) -> None:
        self._changed_keys.append(key)

    async def _load(self) -> None:
        """Replace the content of the watch cache by all current records."""
        sent_at = self.now()
        items, revision = await self._state.listing(ROOT)
        self.cache.reload(items, revision)
        self.current_at = self.contact_at = sent_at
        self.apply_changed()
        if not self.ready:
            self.ready = True
            name = self._identity.name
            log.info("event=controller_ready controller=%s revision=%d", name, revision)

    async def _poll_changes(self, wait_ms: int) -> None:
        """Apply the changes since the cached revision; wait up to `wait_ms` if there are none."""
        sent_at = self.now()
        try:
            changes = await self._state.changes(ROOT, self.cache.revision, wait_ms)
        except RevisionCompactedError:
            await self._load()
            return
        self.cache.apply_events(changes.events, changes.revision)
        self.current_at = max(self.current_at, sent_at)
        self.mark_contact()
        self.apply_changed()
