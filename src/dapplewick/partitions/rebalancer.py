"""The leader's keeping of shares: transfers that are asked for, drained, handed over and ended.

A state machine without I/O. Each pass looks at the records and at what the parts told, and says
what to write. Every write names the versions that it rests on, so each step is harmless if the
next never comes: a machine is in exactly one share at each revision, whoever ends in between.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Set
from typing import NamedTuple

import msgspec

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.selection import MachineSelection
from dapplewick.partitions.solver import Cell
from dapplewick.partitions.targets import TargetsInForce
from dapplewick.partitions.timing import MoveTimes
from dapplewick.storage.conditional_write import ConditionalWrite, Precondition
from dapplewick.storage.formats import PARTITIONS_FORMAT
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.keys import SHARDS, TRANSFERS
from dapplewick.storage.transfers import (
    CANCELLED,
    COMPLETE,
    COUNT_MOST,
    DRAINING,
    MACHINES_MOST,
    OVERDUE,
    REQUESTED,
    TransferRecord,
)
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import (
    FencingToken,
    MachineId,
    Seconds,
    ShardName,
    TransferId,
    partition_of,
    shard_name,
    zone_of,
)

log = logging.getLogger("dapplewick.partitions")

LEND_S = 30.0  # a job of which nothing has started for so long may use other teams' idle room
BUSY_S = 20.0  # a busy machine keeps others from being drained for so long
AVOID_S = 120.0  # a machine that was not empty in time is not chosen again for so long
KEEP_S = 60.0  # ended transfers are shown for so long
TIED_MOST = 4  # transfers that are written in one transaction: the least that one may take
HAND_OVER_MOST = 20  # machines that are handed over in one transaction


# Whose a transfer is: the plan's, an operator's, or what was missing of an operator's.
PLAN, OPERATOR, AGAIN = "plan", "operator", "again"


class TransferCommand(NamedTuple):
    """An operator's move or cancellation that is to be written in the next pass."""

    transfer: TransferId
    record: TransferRecord | None  # None: the transfer is to be cancelled


class PartitionRebalancer:
    """Moves machines between the shares of zones, as one term's leader."""

    def __init__(
        self, cache: WatchCache, index: MachineIndex, zones: Iterable[str], times: MoveTimes
    ) -> None:
        self._cache = cache
        self._index = index
        self._zones = list(zones)
        self._times = times
        self.plan = PartitionPlan()
        self.targets = TargetsInForce()
        self.commands: list[TransferCommand] = []
        self._starving: frozenset[str] = frozenset()
        self._avoid: dict[MachineId, Seconds] = {}  # until when
        self._drained_at: dict[MachineId, Seconds] = {}
        self._ended_at: dict[TransferId, Seconds] = {}
        self._begun_at: dict[TransferId, Seconds] = {}
        self._generation = 0
        self._drafts: dict[TransferId, TransferRecord] = {}
        self._ties: dict[TransferId, str] = {}  # drafts that are written in one transaction
        self._handed_over: set[TransferId] = set()  # written with a handover in this pass

    # What the leader asks

    def note_waiting(self, wall: Seconds, jobs: Iterable[JobRecord]) -> None:
        """Teams with a job of which nothing has started for long may use what idles in the shares
        of others: no work waits beside room that fits it."""
        self._starving = frozenset(
            job.spec.team
            for job in jobs
            if job.open
            and not job.done
            and job.gang is None
            and not any(job.assignments.values())
            and wall - job.submitted_at > LEND_S
        )

    def served_teams(self, shard: ShardName) -> frozenset[str] | None:
        """The teams whose work may come to a part; None for a zone's own part: all teams."""
        name = partition_of(shard)
        if not name:
            return None
        partition = self.plan.partitions.get(name)
        return frozenset(partition.teams) | self._starving if partition is not None else frozenset()

    def wanted_shards(self) -> list[ShardName]:
        """The parts of shares that are to get machines, or have some."""
        if self._cache.format < PARTITIONS_FORMAT:
            return []
        wanted = {
            shard_name(cell.zone, cell.partition): None
            for cell, count in self.targets.items()
            if count > 0 and cell.partition in self.plan.partitions
        }
        for record in self._open().values():
            if partition_of(record.target) in self.plan.partitions:
                wanted[ShardName(record.target)] = None
        return list(wanted)

    def changes(
        self,
        now: Seconds,
        wall: Seconds,
        shards: list[ObservedShard],
        placed: Set[MachineId],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """The writes of this pass."""
        if self._cache.format < PARTITIONS_FORMAT:
            return []
        self._drafts = {}
        self._ties = {}
        self._handed_over = set()
        self._note_generation()
        self._avoid = {m: until for m, until in self._avoid.items() if until > now}
        self._index.refresh()
        selection = MachineSelection(now, self._cache, self._index, shards, placed)
        self._take_commands()
        self._follow_targets(wall)
        transaction_group: list[ConditionalWrite] = []
        in_order = sorted(self._open().items(), key=lambda item: item[1].generation)
        for transfer in dict(in_order):
            if transfer not in self._open():
                continue  # a later one has taken over all that it drained
            self._prune(transfer)
            if self._end_overdue(now, wall, transfer):
                continue
            handover = self._hand_over(now, transfer, selection, shards, machine_lifecycle)
            if handover:
                transaction_group += handover
                self._handed_over.add(transfer)  # more is drained in the next pass
            else:
                self._drain_more(now, transfer, selection)
        return transaction_group + self._transfer_changes(now, wall) + self._shard_removals()

    # Transfers as drafted in this pass

    def _record(self, transfer: TransferId) -> TransferRecord | None:
        return self._drafts.get(transfer) or self._cache.transfers.records.get(transfer)

    def _open(self) -> dict[TransferId, TransferRecord]:
        known = {**self._cache.transfers.records, **self._drafts}
        return {name: record for name, record in known.items() if record.open}

    def _note_generation(self) -> None:
        generations = [r.generation for r in self._cache.transfers.records.values()]
        self._generation = max([self._generation, *generations])

    def _next_generation(self) -> int:
        self._generation += 1
        return self._generation

    def _update(self, transfer: TransferId, **fields: object) -> TransferRecord:
        record = self._record(transfer)
        assert record is not None
        changed = msgspec.structs.replace(record, **fields)
        self._drafts[transfer] = changed
        return changed

    def _transfer_changes(self, now: Seconds, wall: Seconds) -> list[ConditionalWrite]:
        """The writes of transfers that are not tied to a handover, and of those long ended."""
        out = []
        for transfer, draft in self._drafts.items():
            out.append(self._write(transfer, draft, self._ties.get(transfer, "")))
        # What is tied stands in a row.
        out.sort(key=lambda change: change.transaction_group)
        for transfer, record in self._cache.transfers.records.items():
            if record.open or transfer in self._drafts or self._holds(record, wall):
                continue
            if now - self._ended_at.setdefault(transfer, now) > KEEP_S:
                key = TRANSFERS + transfer
                out.append(ConditionalWrite(key, None, self._cache.version(key), WritePriority.LOW))
        return out

    def _write(
        self, transfer: TransferId, record: TransferRecord, transaction_group_name: str = ""
    ) -> ConditionalWrite:
        key = TRANSFERS + transfer
        value = msgspec.to_builtins(record)
        return ConditionalWrite(
            key,
            value,
            self._cache.version(key),
            WritePriority.NORMAL,
            transaction_group=transaction_group_name,
        )

    # Orders and targets

    def _take_commands(self) -> None:
        """Draft what operators have ordered. Whoever ordered it takes the order back when its
        record is there, or when it is given up on."""
        for transfer, record in self.commands:
            if record is None:
                known = self._record(transfer)
                if known is not None and known.state != CANCELLED:
                    self._cancel(transfer, "ordered")
            elif self._record(transfer) is None:
                self._request(transfer, record)

    def _request(self, transfer: TransferId, record: TransferRecord) -> None:
        """A new transfer. It wins over an earlier one the other way, which ends: what that had
        not moved yet counts as moved back."""
        for name, other in self._open().items():
            opposite = (other.source, other.target) == (record.target, record.source)
            if opposite and other.type == record.type and len(self._ties) < TIED_MOST:
                self._cancel(name, "a later move the other way")
                # Both or neither: else what has not moved would be counted as moved back, and go.
                self._ties[name] = self._ties[transfer] = f"request/{transfer}"
                back = min(other.count - other.moved, record.count - record.moved)
                record = msgspec.structs.replace(record, moved=record.moved + back)
        if record.moved >= record.count:
            record = msgspec.structs.replace(record, state=COMPLETE)
        generation = self._next_generation()
        self._drafts[transfer] = msgspec.structs.replace(record, generation=generation)
        log.info(
            "event=transfer_requested transfer=%s generation=%d source=%s target=%s type=%s "
            "count=%d origin=%s",
            transfer,
            generation,
            record.source,
            record.target,
            record.type,
            record.count,
            record.origin,
        )

    def _cancel(self, transfer: TransferId, why: str) -> None:
        self._update(transfer, state=CANCELLED, draining=[])
        log.info("event=transfer_cancelled transfer=%s reason=%s", transfer, why.replace(" ", "_"))

    def _follow_targets(self, wall: Seconds) -> None:
        """Ask for the transfers that bring each share to its target. Machines of a kind that an
        operator has moved are left alone for a while."""
        if not self.targets.known:
            return
        held = {
            (zone_of(record.source), record.type)
            for record in {**self._cache.transfers.records, **self._drafts}.values()
            if record.origin != PLAN and (record.open or self._holds(record, wall))
        }
        kinds = {(zone_of(kind.shard), kind.type) for kind, _ in self._index.kinds()}
        for zone, type_ in sorted(kinds - held):
            if zone in self._zones:
                self._balance(wall, zone, type_)

    def _holds(self, record: TransferRecord, wall: Seconds) -> bool:
        """Whether an operator's move that has ended still keeps the plan from its machines."""
        ordered = record.origin != PLAN and record.state in (COMPLETE, OVERDUE)
        return ordered and bool(self.plan.partitions) and wall < record.at + self.plan.hold_orders_s

    def _balance(self, wall: Seconds, zone: str, type_: str) -> None:
        """Pair shares that have too many machines of a kind with those that have too few."""
        partitions = {
            partition_of(k.shard) for k, _ in self._index.kinds() if zone_of(k.shard) == zone
        }
        partitions |= {cell.partition for cell, _ in self.targets.items() if cell.zone == zone}
        coming, going = self._in_flight(zone, type_)
        spare: dict[str, int] = {}
        short: dict[str, int] = {}
        for partition in sorted(partitions - {""}):
            name = shard_name(zone, partition)
            have = self._index.count(name, type_)
            differ = have + coming.get(name, 0) - going.get(name, 0)
            differ -= self._target(Cell(partition, zone, type_))
            if differ > 0:
                spare[name] = differ
            elif differ < 0:
                short[name] = -differ
        own = shard_name(zone)
        left = self._index.count(own, type_) - going.get(own, 0)
        for target, missing in short.items():
            missing -= self._cancel_counter_moves(target, type_, missing, outgoing=True)
            for source in list(spare):
                count = min(missing, spare[source])
                missing -= count
                spare[source] -= count
                self._request_for_plan(wall, source, target, type_, count)
            count = min(missing, max(0, left))
            left -= count
            self._request_for_plan(wall, own, target, type_, count)
        for source, count in spare.items():
            count -= self._cancel_counter_moves(source, type_, count, outgoing=False)
            self._request_for_plan(wall, source, own, type_, count)

    def _target(self, cell: Cell) -> int:
        """A share that is not in the plan gives all that it has."""
        return self.targets[cell] if cell.partition in self.plan.partitions else 0

    def _in_flight(self, zone: str, type_: str) -> tuple[dict[str, int], dict[str, int]]:
        """How many machines of a kind are on their way to each part, and from each."""
        coming: dict[str, int] = {}
        going: dict[str, int] = {}
        for record in self._open().values():
            if (zone_of(record.source), record.type) != (zone, type_):
                continue
            rest = record.count - record.moved
            coming[record.target] = coming.get(record.target, 0) + rest
            going[record.source] = going.get(record.source, 0) + rest
        return coming, going

    def _cancel_counter_moves(self, shard: str, type_: str, most: int, outgoing: bool) -> int:
        """End the plan's own moves from a part that is short, or to one that has too many; gives
        for how many machines."""
        ended = 0
        for transfer, record in list(self._open().items()):
            end = record.source if outgoing else record.target
            rest = record.count - record.moved
            if end == shard and record.type == type_ and ended + rest <= most:
                self._cancel(transfer, "the targets have changed")
                ended += rest
        return ended

    def _request_for_plan(
        self, wall: Seconds, source: str, target: str, type_: str, count: int
    ) -> None:
        if count <= 0:
            return
        generation = self._generation + 1
        transfer = TransferId(f"p-{generation}-{self._cache.revision}")
        record = TransferRecord(
            generation,
            source,
            target,
            type_,
            min(count, COUNT_MOST),
            REQUESTED,
            wall,
            wall + self.plan.move_within_s,
        )
        self._request(transfer, record)

    # The life of a transfer

    def _prune(self, transfer: TransferId) -> None:
        """Take machines off that are gone, are about to be, or have become another part's."""
        record = self._open()[transfer]
        stays = []
        for machine in record.draining:
            known = self._cache.machines.get(MachineId(machine))
            if known is not None and not known.terminating and known.shard == record.source:
                stays.append(machine)
        if len(stays) < len(record.draining):
            self._update(transfer, draining=stays)

    def _end_overdue(self, now: Seconds, wall: Seconds, transfer: TransferId) -> bool:
        """End a transfer whose time is over. What is missing of an operator's is asked for once
        more, from other machines; the plan finds by itself what it misses."""
        record = self._open()[transfer]
        if wall < record.until:
            return False
        log.info(
            "event=transfer_overdue transfer=%s moved=%d count=%d draining=%s",
            transfer,
            record.moved,
            record.count,
            ",".join(record.draining),
        )
        for machine in record.draining:
            self._avoid[MachineId(machine)] = now + AVOID_S
        self._update(transfer, state=OVERDUE, draining=[])
        if record.origin == OPERATOR:
            again = msgspec.structs.replace(
                record,
                count=record.count - record.moved,
                moved=0,
                draining=[],
                state=REQUESTED,
                at=wall,
                until=wall + self.plan.move_within_s,
                origin=AGAIN,
            )
            successor = TransferId(f"{transfer}-again")
            self._request(successor, again)
            self._ties.setdefault(successor, f"again/{transfer}")
            self._ties[transfer] = self._ties[successor]
        return True

    def _drain_more(self, now: Seconds, transfer: TransferId, selection: MachineSelection) -> None:
        """Choose machines for what is still missing."""
        record = self._record(transfer)
        if record is None or not record.open or record.missing <= 0:
            return
        if len(record.draining) >= MACHINES_MOST:
            return
        taken = {MachineId(m) for r in self._open().values() for m in r.draining}
        waited_for = {
            machine
            for machine in map(MachineId, record.draining)
            if now - self._drained_at.get(machine, -1e9) < BUSY_S
        }
        chosen = selection.choose(record, self._avoid.keys(), taken, waited_for)
        if not chosen:
            chosen = self._take_over(transfer, record)
        if not chosen:
            return
        for machine in chosen:
            self._drained_at[machine] = now
        self._begun_at.setdefault(transfer, now)
        self._update(transfer, state=DRAINING, draining=[*record.draining, *map(str, chosen)])

    def _take_over(self, transfer: TransferId, record: TransferRecord) -> list[MachineId]:
        """Machines that an earlier transfer drains, for a later one of the same share: the later
        wins where there are not enough for both."""
        if self._ties or transfer in self._drafts:
            return []
        for name, other in self._open().items():
            rival = (other.source, other.type) == (record.source, record.type)
            earlier = rival and other.generation < record.generation and name not in self._drafts
            if not earlier or not other.draining or name in self._handed_over:
                continue
            taken = other.draining[: record.missing]
            left = [machine for machine in other.draining if machine not in taken]
            count = other.count - len(taken)
            state = other.state if count > other.moved else CANCELLED
            self._update(name, draining=left, count=max(1, count), state=state)
            self._ties = dict.fromkeys((name, transfer), f"taken over/{transfer}")
            return [MachineId(machine) for machine in taken]
        return []

    def _hand_over(
        self,
        now: Seconds,
        transfer: TransferId,
        selection: MachineSelection,
        shards: list[ObservedShard],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """Hand over machines that are proven empty, in one transaction: the groups of both shares,
        the transfer, and the tokens of both parts as conditions."""
        record = self._open()[transfer]
        if transfer in self._drafts or not record.draining:
            return []  # what is drafted is not stored: no owner has seen it
        source = ShardName(record.source)
        if not self._owner_knows(transfer, source, shards):
            return []
        if not self._cache.version(SHARDS + record.target):
            return []  # it has no owner yet
        empty = [m for m in map(MachineId, record.draining) if selection.is_empty(record, m)]
        if not empty:
            return []
        # All of one transaction come from one group.
        group = self._cache.group_of[empty[0]]
        going = [m for m in empty if self._cache.group_of[m] == group][:HAND_OVER_MOST]
        source_token = FencingToken(self._cache.version(SHARDS + source))
        floors = {m: self._cache.token_for(m, source_token) + 1 for m in going}
        transaction_group_name = f"transfer/{transfer}"
        moved = machine_lifecycle.move(floors, partition_of(record.target), transaction_group_name)
        if not moved:
            return []
        left = [m for m in record.draining if MachineId(m) not in moved]
        count = record.moved + len(moved)
        state = COMPLETE if count >= record.count else DRAINING
        changed = msgspec.structs.replace(record, draining=left, moved=count, state=state)
        for machine in moved:
            if machine in self._drained_at:
                self._times.machine(now - self._drained_at.pop(machine))
        log.info(
            "event=machines_transferred transfer=%s source=%s target=%s machines=%s state=%s",
            transfer,
            record.source,
            record.target,
            ",".join(moved),
            state,
        )
        if state == COMPLETE and transfer in self._begun_at:
            self._times.transfer(now - self._begun_at.pop(transfer))
        preconditions = tuple(
            Precondition(SHARDS + name, self._cache.version(SHARDS + name))
            for name in (record.source, record.target)
        )
        write = self._write(transfer, changed, transaction_group_name)._replace(
            preconditions=preconditions
        )
        return [*machine_lifecycle.moves(transaction_group_name), write]

    def _owner_knows(
        self, transfer: TransferId, source: ShardName, shards: Iterable[ObservedShard]
    ) -> bool:
        """Whether the giving part's owner has seen the transfer as it is stored. What it told
        before says nothing of what it has started since, as after a transfer was cancelled."""
        stored = self._cache.version(TRANSFERS + transfer)
        return any(shard.shard == source and shard.seen >= stored for shard in shards)

    # Parts of shares

    def _shard_removals(self) -> list[ConditionalWrite]:
        """Parts of shares that are not wanted, and that no record names any more."""
        if not self.targets.known:
            return []
        wanted = set(self.wanted_shards())
        unwanted = {p for p in self._cache.shards if partition_of(p)} - wanted
        if not unwanted:
            return []
        unwanted -= {ShardName(r.target) for r in self._open().values()}
        unwanted = {shard for shard in unwanted if not self._index.has_any(shard)}
        for _, job in self._cache.each_live():
            unwanted -= job.assignments.keys()
            if job.gang is not None:
                unwanted -= job.gang.shards()
        out = []
        for shard in sorted(unwanted):
            key = SHARDS + shard
            log.info("event=partition_shard_removed shard=%s", shard)
            out.append(ConditionalWrite(key, None, self._cache.version(key), WritePriority.LOW))
        return out
