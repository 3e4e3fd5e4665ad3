"""Keeps the watch cache up to date, and knows how old it is."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio

from dapplewick.controller.budgets import Budgets
from dapplewick.controller.core_notifier import CoreNotifier
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.wake import WakeSignal
from dapplewick.storage.errors import (
    OutcomeUnknownError,
    RequestRefusedError,
    RevisionCompactedError,
)
from dapplewick.storage.job_records import CANCELLED
from dapplewick.storage.keys import JOBS, ROOT
from dapplewick.storage.read_checks import ReadChecks
from dapplewick.storage.state_client import StateClient
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, Seconds

log = logging.getLogger(__name__)

WATCH_TIMEOUT_MS = 4000
STANDBY_WATCH_DELAY_S = (
    0.4  # a controller that neither leads nor owns a shard follows in these steps
)


class RecordFollower:
    """Reads the records at first and follows their changes.

    Attributes:
        cache: the copy of the records.
        ready: whether the records were read at least once.
        current_at: the watch cache has all that was stored by then, by the steady clock.
        contact_at: when the state service answered last, by the steady clock.
        now: the steady clock, in seconds.
    """

    def __init__(
        self,
        identity: Identity,
        state: StateClient,
        cache: WatchCache,
        notifier: CoreNotifier,
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
        self._read_checks = ReadChecks(lambda: self._poll_changes(0), now, budgets.check_interval_s)
        cache.listeners.append(self._on_key_changed)

    async def current(self) -> Seconds:
        """Return once the watch cache is known to be as new as when this was called.

        Returns:
            When the changes were asked for, by the steady clock.

        Raises:
            RequestRefusedError: they could not be read.
        """
        return await self._read_checks.current()

    async def run_checks(self) -> None:
        """Serve those who wait for `current`, for ever."""
        await self._read_checks.run()

    async def run_watch(self) -> None:
        """Read the records, and follow their changes for ever."""
        while True:
            try:
                if not self.ready:
                    await self._load()
                await self._poll_changes(WATCH_TIMEOUT_MS)
                # What changes meanwhile comes with the next answer, in one request.
                is_active = self._notifier.is_active()
                await anyio.sleep(self._watch_delay_s if is_active else STANDBY_WATCH_DELAY_S)
            except (RequestRefusedError, OutcomeUnknownError) as err:
                log.debug("event=watch_failed error=%s", err)
                await anyio.sleep(0.2 + self._random.random() * 0.3)

    def mark_contact(self) -> None:
        """Note that the state service has answered just now."""
        self.contact_at = self.now()

    def stored(self, key: str, value: object, version: int) -> None:
        """Take over a write of this process that is known to be done."""
        self.cache.put(key, value, version)
        if key.startswith(JOBS) and isinstance(value, dict) and value.get("stage") == CANCELLED:
            # Owners that can't read the records stop its tasks sooner; no rule rests on it.
            self._gossip_wake.set()
        self.apply_changed()

    def apply_changed(self) -> None:
        """Tell the cores of records that have changed in the watch cache."""
        if not self._changed_keys:
            return
        keys, self._changed_keys = dict.fromkeys(self._changed_keys), []
        machines = dict.fromkeys(self.cache.changed_machines)
        self.cache.changed_machines.clear()
        self._notifier.notify(self.now(), keys, machines)

    def _on_key_changed(self, key: str) -> None:
        self._changed_keys.append(key)

    async def _load(self) -> None:
        """Read all records anew."""
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
        """Bring the watch cache up to the newest changes."""
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
