"""Election of the leader, the epoch under which it plans, and its fenced writes.

The epoch is the version of the leader's key. Every write of a leader is conditional on the epoch,
so a change that was planned under an earlier epoch can't be written under a later one.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Sequence
from typing import NamedTuple

import anyio
import msgspec

from dapplewick.coordination.identity import Identity
from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.presence import Presence
from dapplewick.coordination.records import Records
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.controller_records import LeaderRecord
from dapplewick.storage.errors import (
    OutcomeUnknownError,
    RequestRefusedError,
    TransactionConflictError,
)
from dapplewick.storage.keys import LEADER
from dapplewick.storage.state_client import StateClient
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import FencingToken

log = logging.getLogger(__name__)


class WriteRates(NamedTuple):
    """Limits on the keys that a process writes per second, as a follower and as the leader."""

    following: float
    leading: float


class Election:
    """Makes this process the leader if the cluster has none, and sends the leader's writes."""

    def __init__(
        self,
        identity: Identity,
        state: StateClient,
        records: Records,
        presence: Presence,
        leadership: Leadership,
        *,
        write_rates: WriteRates,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._state = state
        self._records = records
        self._presence = presence
        self._leadership = leadership
        self._write_rates = write_rates
        self._random = rng
        # The newest epoch for which the records were read after it had begun.
        self._synced_epoch = FencingToken(0)
        self._planned_epoch = FencingToken(0)  # the newest epoch under which this process planned
        # A write under this epoch has an unknown outcome and may still be applied.
        self._uncertain_epoch = FencingToken(0)

    def is_leader(self) -> bool:
        """Whether the leader's key names this process, and the lease of this process is valid."""
        record = self._records.cache.leader
        return (
            record is not None
            and record.controller == self._identity.name
            and record.incarnation == self._identity.incarnation
            and self._presence.lease_valid()
        )

    async def campaign(self, *, owns_shards: bool) -> None:
        """Try to become the leader.

        Does nothing if another controller or this incarnation holds the leader's key, or if the
        presence lease is not valid. A key of an earlier incarnation of this controller is
        overwritten.

        Args:
            owns_shards: whether this controller owns shards. If so, it waits first, so that
                controllers without shards are elected preferentially.

        Raises:
            RequestRefusedError: the state service rejected the write.
            TransactionConflictError: another controller wrote the key first.
            OutcomeUnknownError: the write may have been applied.
            LeaseExpiredError: the presence lease has expired.
        """
        record = self._records.cache.leader
        is_own_old_key = (
            record is not None
            and record.controller == self._identity.name
            and record.incarnation != self._identity.incarnation
        )
        has_lease = self._presence.lease is not None and self._presence.lease_valid()
        if (record is not None and not is_own_old_key) or not has_lease:
            return
        if owns_shards:
            # Controllers without a shard campaign first.
            await anyio.sleep(0.3 + self._random.random() * 0.2)
            if self._records.cache.leader is not record:
                return  # another controller wrote the key first
        await self._write_leader()

    def begin_term(self, planner: LeaderPlanner, epoch: FencingToken) -> None:
        """Start leading with this planner, at the write rate of a leader."""
        self._leadership.planner = planner
        self._state.write_budget.rate_per_s = self._write_rates.leading
        log.info("event=leadership_acquired controller=%s epoch=%d", self._identity.name, epoch)

    def resign(self) -> None:
        """Stop leading: another process holds the key, or the lease may have expired."""
        log.info("event=leadership_lost controller=%s", self._identity.name)
        self._leadership.planner = None
        self._state.write_budget.rate_per_s = self._write_rates.following

    async def step_down(self, epoch: FencingToken) -> None:
        """Remove the leader's key, which ends the epoch, so that another controller can lead.

        Raises:
            TransactionConflictError: the epoch has already ended.
            OutcomeUnknownError: the key may have been removed, or may still be removed later.
            RequestRefusedError: the state service rejected the write.
        """
        await self.write(epoch, [ConditionalWrite(LEADER, None, int(epoch), WritePriority.URGENT)])
        log.info(
            "event=leader_stepped_down controller=%s epoch=%d reason=isolated",
            self._identity.name,
            epoch,
        )

    async def prepare_epoch(self) -> FencingToken:
        """Return an epoch under which it is safe to plan, and begin a new one if necessary.

        A write with an unknown outcome may still be applied until the leader's key changes.
        Planning continues only after the key was rewritten, even if rewriting it fails at first.
        A new term of the same process also begins a new epoch if its old key still exists, for
        example after an outage, because attempts and provisioning requests are named after the
        epoch. After an epoch has begun the records are read once, because an earlier leader, or an
        earlier incarnation of this one, could write until then.

        Raises:
            RequestRefusedError: another epoch has begun, or the state service rejected a request.
            TransactionConflictError: the leader's key has changed.
            OutcomeUnknownError: the leader's key may have been written.
            LeaseExpiredError: the presence lease has expired.
        """
        epoch = self._epoch()
        is_used_epoch = self._leadership.planner is None and epoch <= self._planned_epoch
        if is_used_epoch or epoch == self._uncertain_epoch:
            await self._write_leader()
            epoch = self._epoch()
        if epoch != self._synced_epoch:
            await self._records.wait_until_current()
            if epoch != self._epoch():
                raise RequestRefusedError("another epoch began while the records were read")
            self._synced_epoch = epoch
        return epoch

    def record_planned_epoch(self, epoch: FencingToken) -> None:
        """Record that this process has planned under an epoch."""
        self._planned_epoch = max(self._planned_epoch, epoch)

    async def write(self, epoch: FencingToken, changes: Sequence[ConditionalWrite]) -> None:
        """Write records as the leader, on condition that neither epoch nor records have changed.

        Args:
            epoch: the epoch under which the changes were planned. The watch cache may meanwhile
                contain the epoch of another leader, under which these changes must not be written.
            changes: the records to write or to remove, in one transaction.

        Raises:
            TransactionConflictError: the epoch or a record has changed.
            OutcomeUnknownError: the write may have been applied, or may still be applied later.
            RequestRefusedError: nothing was written.
            ValueTooLargeError: the state service does not accept values of this size.
        """
        conditions = {LEADER: int(epoch)}
        for change in changes:
            conditions |= dict(change.preconditions)
        conditions |= {c.key: c.expected_version for c in changes}
        puts = {c.key: c.value for c in changes if c.value is not None}
        deletes = [c.key for c in changes if c.value is None]
        try:
            version = await self._state.transaction(conditions, puts, deletes)
        except TransactionConflictError:
            await self._records.wait_until_current()
            raise
        except OutcomeUnknownError:
            # The write may still be applied later. Rewriting the leader's key prevents this,
            # because the write is conditional on the old epoch. `prepare_epoch` does so, and reads
            # the records again.
            log.info("event=write_outcome_unknown keys=%d", len(changes))
            self._uncertain_epoch = epoch
            raise
        log.debug("event=write_committed revision=%d keys=%s", version, ",".join(conditions))
        for key, value in puts.items():
            self._records.cache.put(key, value, version)
        for key in deletes:
            self._records.cache.remove(key, version)
        self._records.apply_changed()

    def _epoch(self) -> FencingToken:
        return FencingToken(self._records.cache.version(LEADER))

    async def _write_leader(self) -> None:
        """Write the leader's key, which begins a new epoch."""
        assert self._presence.lease is not None
        value = msgspec.to_builtins(LeaderRecord(self._identity.name, self._identity.incarnation))
        version = await self._state.transaction(
            {LEADER: self._records.cache.version(LEADER)},
            {LEADER: value},
            leases={LEADER: self._presence.lease},
            urgent=True,
        )
        self._records.apply_stored_write(LEADER, value, version)
        await self._records.wait_until_current()
