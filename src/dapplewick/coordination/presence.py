"""Presence of a controller: a record that exists as long as the controller renews its lease."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio
import msgspec

from dapplewick.coordination.identity import Identity
from dapplewick.coordination.records import Records
from dapplewick.storage.controller_records import ControllerRecord
from dapplewick.storage.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    TransactionConflictError,
)
from dapplewick.storage.keys import CONTROLLERS
from dapplewick.storage.state_client import StateClient
from dapplewick.types import NEVER_S, Seconds

log = logging.getLogger(__name__)

LEASE_TTL_S = 5.0
LEASE_RENEWAL_INTERVAL_S = 1.3


class Presence:
    """Maintains the presence record of this process and the lease to which it is attached.

    Attributes:
        lease: the id of the lease in the state service; None while this process holds none.
        lease_valid_until: the time until which the lease is guaranteed to be valid, by the steady
            clock, in seconds.
    """

    def __init__(
        self,
        identity: Identity,
        state: StateClient,
        records: Records,
        *,
        format_version: int,
        now: Callable[[], Seconds],
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._state = state
        self._records = records
        self._format_version = format_version
        self._now = now
        self._random = rng
        self.lease: int | None = None
        self.lease_valid_until = NEVER_S

    def lease_valid(self) -> bool:
        """Whether the lease is guaranteed to be valid now."""
        return self._now() < self.lease_valid_until

    async def run(self) -> None:
        """Acquire the lease, store the record and renew the lease periodically; never returns."""
        while True:
            try:
                await self._renew_or_register()
            except LeaseExpiredError:
                log.info("event=presence_lease_expired controller=%s", self._identity.name)
                self.lease = None
                continue
            except TransactionConflictError:
                await anyio.sleep(0.05 + self._random.random() * 0.1)
                continue
            except (RequestRefusedError, OutcomeUnknownError) as err:
                log.debug("event=presence_renewal_failed error=%s", err)
                await anyio.sleep(0.3 + self._random.random() * 0.2)
                continue
            await anyio.sleep(LEASE_RENEWAL_INTERVAL_S)

    async def _renew_or_register(self) -> None:
        """Renew the lease, or acquire a new one and store the record under it."""
        sent_at = self._now()
        if self.lease is not None and self._is_overwritten():
            log.info("event=presence_overwritten controller=%s", self._identity.name)
            self.lease = None
        if self.lease is None:
            await self._register()
        else:
            await self._state.renew(self.lease)
        # The service renewed the lease after the request was sent, so the time counted from then is
        # a lower bound. The deductions cover clock drift.
        self.lease_valid_until = sent_at + LEASE_TTL_S * 0.998 - 0.1
        self._records.mark_contact()

    async def _register(self) -> None:
        """Store the presence record under a new lease."""
        lease = await self._state.new_lease(int(LEASE_TTL_S * 1000))
        key = CONTROLLERS + self._identity.name
        # The condition on the version read here keeps a delayed write, of an earlier incarnation
        # or of an unanswered request of this one, from replacing a newer record. Without the
        # condition, such a write removed a running controller from the present controllers.
        _, before = await self._state.get(key)
        record = ControllerRecord(
            self._identity.incarnation, self._identity.zone, self._format_version
        )
        value = msgspec.to_builtins(record)
        version = await self._state.transaction(
            {key: before}, {key: value}, leases={key: lease}, urgent=True
        )
        self.lease = lease
        self._records.apply_stored_write(key, value, version)

    def _is_overwritten(self) -> bool:
        """Whether the presence record is missing or belongs to another incarnation."""
        record = self._records.cache.controllers.get(self._identity.name)
        return self._records.ready and (
            record is None or record.incarnation != self._identity.incarnation
        )
