"""The life of a transfer: machines are chosen and drained for it, until it is full or overdue."""

from __future__ import annotations

import logging

import msgspec

from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.selection import MachineSelection
from dapplewick.partitions.timing import TransferStopwatch
from dapplewick.partitions.transfer_drafts import AGAIN, OPERATOR, TransferDrafts
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

BUSY_S = 20.0  # a busy machine keeps others from being drained for so long
AVOID_S = 120.0  # a machine that was not empty in time is not chosen again for so long


class TransferDraining:
    """Which machines are drained for which transfer, in one term of a leader."""

    def __init__(
        self, cache: WatchCache, drafts: TransferDrafts, stopwatch: TransferStopwatch
    ) -> None:
        self._cache = cache
        self._drafts = drafts
        self._stopwatch = stopwatch
        self._avoid_until: dict[MachineId, Seconds] = {}
        self._handed_over: set[TransferId] = set()  # by a handover of this pass

    def begin_pass(self, now: Seconds) -> None:
        """Forget the handovers of the last pass, and machines that may be chosen again."""
        self._handed_over = set()
        self._avoid_until = {m: until for m, until in self._avoid_until.items() if until > now}

    def note_handover(self, transfer: TransferId) -> None:
        """Take note that this pass hands machines over; the transfer drains more in the next."""
        self._handed_over.add(transfer)

    def prune(self, transfer: TransferId) -> None:
        """Take machines off a transfer that are gone, terminating, or another shard's by now."""
        record = self._drafts.open_records()[transfer]
        stays = []
        for machine in record.draining:
            known = self._cache.machines.get(MachineId(machine))
            if known is not None and not known.terminating and known.shard == record.source:
                stays.append(machine)
        if len(stays) < len(record.draining):
            self._drafts.update(transfer, draining=stays)

    def end_overdue(
        self, now: Seconds, wall_time: Seconds, transfer: TransferId, plan: PartitionPlan
    ) -> bool:
        """End a transfer whose time is over, and say whether it was.

        What is missing of an operator's transfer is requested once more, from other machines; the
        plan finds by itself what it misses.
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
            self._avoid_until[MachineId(machine)] = now + AVOID_S
        self._drafts.update(transfer, state=OVERDUE, draining=[])
        if record.origin == OPERATOR:
            self._request_rest(wall_time, transfer, record, plan)
        return True

    def _request_rest(
        self, wall_time: Seconds, transfer: TransferId, record: TransferRecord, plan: PartitionPlan
    ) -> None:
        """Request what is missing of an operator's transfer that was overdue."""
        rest = msgspec.structs.replace(
            record,
            count=record.count - record.moved,
            moved=0,
            draining=[],
            state=REQUESTED,
            requested_at=wall_time,
            overdue_at=wall_time + plan.move_within_s,
            origin=AGAIN,
        )
        successor = TransferId(f"{transfer}-again")
        self._drafts.request(successor, rest)
        self._drafts.group_with_successor(transfer, successor)

    def drain_more(self, now: Seconds, transfer: TransferId, selection: MachineSelection) -> None:
        """Choose machines for what a transfer still misses."""
        record = self._drafts.record(transfer)
        if record is None or not record.open or record.missing <= 0:
            return
        if len(record.draining) >= MAX_DRAINING_MACHINES:
            return
        taken = {MachineId(m) for r in self._drafts.open_records().values() for m in r.draining}
        waited_for = {
            machine
            for machine in map(MachineId, record.draining)
            if self._stopwatch.drained_for_s(machine, now) < BUSY_S
        }
        chosen = selection.choose(record, self._avoid_until.keys(), taken, waited_for)
        if not chosen:
            chosen = self._take_over(transfer, record)
        if not chosen:
            return
        self._stopwatch.note_drained(transfer, chosen, now)
        draining = [*record.draining, *map(str, chosen)]
        self._drafts.update(transfer, state=DRAINING, draining=draining)

    def _take_over(self, transfer: TransferId, record: TransferRecord) -> list[MachineId]:
        """Take machines that an earlier transfer of the same shard drains, for a later one.

        The later one wins where there are not enough machines for both.
        """
        if self._drafts.has_groups or self._drafts.is_drafted(transfer):
            return []
        for name, other in self._drafts.open_records().items():
            if not self._gives_way(name, other, record):
                continue
            taken = other.draining[: record.missing]
            left = [machine for machine in other.draining if machine not in taken]
            count = other.count - len(taken)
            state = other.state if count > other.moved else CANCELLED
            self._drafts.update(name, draining=left, count=max(1, count), state=state)
            self._drafts.group((name, transfer), f"taken over/{transfer}")
            return [MachineId(machine) for machine in taken]
        return []

    def _gives_way(self, name: TransferId, other: TransferRecord, record: TransferRecord) -> bool:
        """Whether an earlier transfer has machines that a later one may take over."""
        rival = (other.source, other.type) == (record.source, record.type)
        earlier = rival and other.generation < record.generation
        if not earlier or self._drafts.is_drafted(name):
            return False
        return bool(other.draining) and name not in self._handed_over
