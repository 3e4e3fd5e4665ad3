"""Election of the leader, the epoch under which it plans, and its fenced writes.

The epoch is the version of the leader's key. Every write of a leader is conditional on it, so that
nothing that was planned under an earlier epoch can be written under a later one.
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
    """Writes a second that a controller may make."""

    following: float
    leading: float


class Election:
    """Makes this process the leader where there is none, and writes as the leader."""

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
        self._read_epoch = FencingToken(0)  # the epoch after whose beginning the records were read
        self._planned_epoch = FencingToken(0)  # the newest under which this process planned
        self._doubted_epoch = FencingToken(0)  # one under which a write may still come late

    def is_leader(self) -> bool:
        """Whether the leader's key names this process, and its lease holds."""
        record = self._records.cache.leader
        return (
            record is not None
            and record.controller == self._identity.name
            and record.incarnation == self._identity.incarnation
            and self._presence.lease_valid()
        )

    async def campaign(self, *, owns_shards: bool) -> None:
        """Try to become leader: the key must not exist, or be of an earlier incarnation.

        Raises:
            RequestRefusedError: the state service did not take the write.
            TransactionConflictError: another was quicker.
            OutcomeUnknownError: the write may have been done.
            LeaseExpiredError: the presence lease is gone.
        """
        record = self._records.cache.leader
        mine = (
            record is not None
            and record.controller == self._identity.name
            and record.incarnation != self._identity.incarnation
        )
        has_lease = self._presence.lease is not None and self._presence.lease_valid()
        if (record is not None and not mine) or not has_lease:
            return
        if owns_shards:
            # Controllers without a shard lead by preference.
            await anyio.sleep(0.3 + self._random.random() * 0.2)
            if self._records.cache.leader is not record:
                return  # another was quicker
        await self._write_leader()

    def begin_term(self, planner: LeaderPlanner, epoch: FencingToken) -> None:
        """Lead from now on, with this planner."""
        self._leadership.planner = planner
        self._state.writes.rate_per_s = self._write_rates.leading
        log.info("event=leadership_acquired controller=%s epoch=%d", self._identity.name, epoch)

    def resign(self) -> None:
        """Stop to lead: the key is another's, or the lease may have expired."""
        log.info("event=leadership_lost controller=%s", self._identity.name)
        self._leadership.planner = None
        self._state.writes.rate_per_s = self._write_rates.following

    async def step_down(self, epoch: FencingToken) -> None:
        """Give up the leader's key, which ends the epoch, so that another may lead.

        Raises:
            TransactionConflictError: the epoch has ended already.
            OutcomeUnknownError: the key may be gone, or may go late.
            RequestRefusedError: the state service did not take the write.
        """
        await self.write(epoch, [ConditionalWrite(LEADER, None, int(epoch), WritePriority.URGENT)])
        log.info(
            "event=leader_stepped_down controller=%s epoch=%d reason=isolated",
            self._identity.name,
            epoch,
        )

    async def prepare_epoch(self) -> FencingToken:
        """Settle the epoch under which to plan now.

        A write without an answer may still come as long as the leader's key is what it was: no
        plan is made on what it may change, also where writing the key anew failed at first.
        A new term that finds its old key, as after an outage, begins a new epoch all the same:
        attempts and provisioning requests are named after it. And the records are read once after
        an epoch has begun: until then an earlier leader, or an earlier incarnation of this one,
        could write.

        Raises:
            RequestRefusedError: another epoch has begun, or the state service refused.
            TransactionConflictError: the leader's key has changed.
            OutcomeUnknownError: the leader's key may have been written.
            LeaseExpiredError: the presence lease is gone.
        """
        epoch = self._epoch()
        renamed = self._leadership.planner is None and epoch <= self._planned_epoch
        if renamed or epoch == self._doubted_epoch:
            await self._write_leader()
            epoch = self._epoch()
        if epoch != self._read_epoch:
            await self._records.current()
            if epoch != self._epoch():
                raise RequestRefusedError("another epoch has begun")
            self._read_epoch = epoch
        return epoch

    def record_planned_epoch(self, epoch: FencingToken) -> None:
        """Remember that this process plans under an epoch."""
        self._planned_epoch = max(self._planned_epoch, epoch)

    async def write(self, epoch: FencingToken, changes: Sequence[ConditionalWrite]) -> None:
        """Write records as the leader: only as long as the epoch and the records still hold.

        The epoch is the one that was planned under. The watch cache may show another leader's by
        now, and a write under that would pass for the other's.

        Raises:
            TransactionConflictError: the epoch or a record has changed.
            OutcomeUnknownError: the write may have been done, or may come late.
            RequestRefusedError: it was not done.
            ValueTooLargeError: the state service does not take values of this size.
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
            await self._records.current()
            raise
        except OutcomeUnknownError:
            # The write may still be applied later. Writing the leader key anew ends that: the
            # write's condition on the old epoch can't hold any more. Then we look again.
            log.info("event=write_outcome_unknown keys=%d", len(changes))
            self._doubted_epoch = epoch
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
        """Write the leader's key anew, which begins an epoch."""
        assert self._presence.lease is not None
        value = msgspec.to_builtins(LeaderRecord(self._identity.name, self._identity.incarnation))
        version = await self._state.transaction(
            {LEADER: self._records.cache.version(LEADER)},
            {LEADER: value},
            leases={LEADER: self._presence.lease},
            urgent=True,
        )
        self._records.stored(LEADER, value, version)
        await self._records.current()
