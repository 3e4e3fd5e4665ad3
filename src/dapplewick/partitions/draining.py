"""Selects and drains machines for transfers, until they are complete or overdue."""

from __future__ import annotations

import logging

import msgspec

from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.selection import MachineSelector
from dapplewick.partitions.timing import TransferStopwatch
from dapplewick.partitions.transfer_drafts import ORIGIN_OPERATOR, ORIGIN_RETRY, TransferDrafts
from dapplewick.storage.transfers import (
    CANCELLED,
    DRAINING,
    MAX_DRAINING_MACHINES,
    OVERDUE,
    REQUESTED,
    TransferRecord,
)
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, Seconds, TransferId

log = logging.getLogger(__name__)

# A machine that has been draining for longer does not count against the limit of busy machines.
MAX_BUSY_WAIT_S = 20.0
RESELECTION_DELAY_S = 120.0  # before a machine that did not become empty in time is selected again


class MachineDrainer:
    """Selects the machines that are drained for transfers, during one term of a leader."""

    def __init__(
        self, cache: WatchCache, drafts: TransferDrafts, stopwatch: TransferStopwatch
    ) -> None:
        self._cache = cache
        self._drafts = drafts
        self._stopwatch = stopwatch
        self._excluded_until: dict[MachineId, Seconds] = {}
        self._handed_over: set[TransferId] = set()  # transfers with a handover in this pass

    def begin_pass(self, now: Seconds) -> None:
        """Clear the handovers of the previous pass and expired exclusions of machines."""
        self._handed_over = set()
        self._excluded_until = {
            m: until for m, until in self._excluded_until.items() if until > now
        }

    def record_handover(self, transfer: TransferId) -> None:
        """Record that this pass hands over machines of a transfer.

        In this pass the transfer drains no further machines, and no other transfer takes over its
        machines.
        """
        self._handed_over.add(transfer)

    def remove_unavailable(self, transfer: TransferId) -> None:
        """Remove from a transfer the machines that are gone, terminating or in another shard."""
        record = self._drafts.open_records()[transfer]
        valid = []
        for machine in record.draining:
            machine_record = self._cache.machines.get(MachineId(machine))
            if (
                machine_record is not None
                and not machine_record.terminating
                and machine_record.shard == record.source
            ):
                valid.append(machine)
        if len(valid) < len(record.draining):
            self._drafts.update(transfer, draining=valid)

    def end_overdue(
        self, now: Seconds, wall_time: Seconds, transfer: TransferId, plan: PartitionPlan
    ) -> bool:
        """End a transfer if it is overdue.

        The remainder of an operator's transfer is requested once more, from other machines. The
        remainder of a transfer of the plan needs no such request, because each pass compares the
        partitions with their targets.

        Returns:
            Whether the transfer was overdue.
        """
        record = self._drafts.open_records()[transfer]
        if wall_time < record.overdue_at:
            return False
        log.info(
            "event=transfer_overdue transfer=%s moved=%d count=%d draining=%s",
            transfer,
            record.moved,
            record.count,
            ",".join(record.draining),
        )
        for machine in record.draining:
            self._excluded_until[MachineId(machine)] = now + RESELECTION_DELAY_S
        self._drafts.update(transfer, state=OVERDUE, draining=[])
        if record.origin == ORIGIN_OPERATOR:
            self._request_remainder(wall_time, transfer, record, plan)
        return True

    def _request_remainder(
        self, wall_time: Seconds, transfer: TransferId, record: TransferRecord, plan: PartitionPlan
    ) -> None:
        """Request the machines that an operator's overdue transfer has not moved."""
        remainder = msgspec.structs.replace(
            record,
            count=record.count - record.moved,
            moved=0,
            draining=[],
            state=REQUESTED,
            requested_at=wall_time,
            overdue_at=wall_time + plan.move_within_s,
            origin=ORIGIN_RETRY,
        )
        successor = TransferId(f"{transfer}-again")
        self._drafts.request(successor, remainder)
        self._drafts.group_with_successor(transfer, successor)

    def drain_more(self, now: Seconds, transfer: TransferId, selector: MachineSelector) -> None:
        """Select further machines for a transfer, up to the number that it still needs."""
        record = self._drafts.record(transfer)
        if record is None or not record.open or record.unselected_count <= 0:
            return
        if len(record.draining) >= MAX_DRAINING_MACHINES:
            return
        already_draining = {
            MachineId(m) for r in self._drafts.open_records().values() for m in r.draining
        }
        recently_draining = {
            machine
            for machine in map(MachineId, record.draining)
            if self._stopwatch.draining_duration(machine, now) < MAX_BUSY_WAIT_S
        }
        chosen = selector.choose(
            record, self._excluded_until.keys(), already_draining, recently_draining
        )
        if not chosen:
            chosen = self._take_over_machines(transfer, record)
        if not chosen:
            return
        self._stopwatch.record_draining(transfer, chosen, now)
        draining = [*record.draining, *map(str, chosen)]
        self._drafts.update(transfer, state=DRAINING, draining=draining)

    def _take_over_machines(self, transfer: TransferId, record: TransferRecord) -> list[MachineId]:
        """Take over draining machines of an earlier transfer from the same shard.

        The later transfer has precedence if there are not enough machines for both. The number of
        machines of the earlier transfer is reduced accordingly.
        """
        if self._drafts.has_groups or self._drafts.is_drafted(transfer):
            return []
        for name, other in self._drafts.open_records().items():
            if not self._is_preemptible(name, other, record):
                continue
            taken_over = other.draining[: record.unselected_count]
            remaining = [machine for machine in other.draining if machine not in taken_over]
            count = other.count - len(taken_over)
            state = other.state if count > other.moved else CANCELLED
            self._drafts.update(name, draining=remaining, count=max(1, count), state=state)
            self._drafts.group((name, transfer), f"taken over/{transfer}")
            return [MachineId(machine) for machine in taken_over]
        return []

    def _is_preemptible(
        self, name: TransferId, other: TransferRecord, record: TransferRecord
    ) -> bool:
        """Whether `other` is an earlier transfer whose machines `record` may take over."""
        same_pool = (other.source, other.type) == (record.source, record.type)
        earlier = same_pool and other.generation < record.generation
        if not earlier or self._drafts.is_drafted(name):
            return False
        return bool(other.draining) and name not in self._handed_over
