"""The leader's rebalancing of partitions: transfers are requested, drained, handed over and ended.

A state machine without I/O. Each pass looks at the records and at what the shards' owners told, and
says what to write. Every write names the versions that it rests on, so each step is harmless if the
next never comes: a machine is in exactly one partition at each revision, whoever ends in between.
"""

from __future__ import annotations

from collections.abc import Iterable, Set

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.partitions.balancing import Balancer
from dapplewick.partitions.cleanup import RecordCleanup
from dapplewick.partitions.draining import TransferDraining
from dapplewick.partitions.handover import MachineHandover
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.selection import MachineSelection
from dapplewick.partitions.targets import TargetsInForce
from dapplewick.partitions.timing import TransferDurations, TransferStopwatch
from dapplewick.partitions.transfer_drafts import TransferCommand, TransferDrafts
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.formats import PARTITIONS_FORMAT
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.transfers import CANCELLED
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, Seconds, ShardName, partition_of, shard_name

LEND_S = 30.0  # a job of which nothing has started for so long may use other teams' idle room


class PartitionRebalancer:
    """Moves machines between the partitions of zones, as one term's leader.

    Attributes:
        plan: the operators' plan in force.
        targets: how many machines of each kind each partition is to have.
        commands: operators' moves and cancellations that are not known to be stored yet.
    """

    def __init__(
        self, cache: WatchCache, index: MachineIndex, zones: Iterable[str], times: TransferDurations
    ) -> None:
        self.plan = PartitionPlan()
        self.targets = TargetsInForce()
        self.commands: list[TransferCommand] = []
        self._cache = cache
        self._index = index
        self._starving_teams: frozenset[str] = frozenset()
        self._drafts = TransferDrafts(cache)
        stopwatch = TransferStopwatch(times)
        self._balancer = Balancer(cache, index, zones, self._drafts)
        self._draining = TransferDraining(cache, self._drafts, stopwatch)
        self._handover = MachineHandover(cache, self._drafts, stopwatch)
        self._cleanup = RecordCleanup(cache, index, self._drafts)

    def update_starving_teams(self, wall_time: Seconds, jobs: Iterable[JobRecord]) -> None:
        """Let teams with a job of which nothing has started for long use others' idle machines.

        No work waits beside room that fits it.
        """
        self._starving_teams = frozenset(
            job.spec.team
            for job in jobs
            if job.open
            and not job.done
            and job.gang is None
            and not any(job.assignments.values())
            and wall_time - job.submitted_at > LEND_S
        )

    def served_teams(self, shard: ShardName) -> frozenset[str] | None:
        """The teams whose work may come to a shard; None for a zone's own shard: all teams."""
        name = partition_of(shard)
        if not name:
            return None
        partition = self.plan.partitions.get(name)
        if partition is None:
            return frozenset()
        return frozenset(partition.teams) | self._starving_teams

    def wanted_shards(self) -> list[ShardName]:
        """The shards of partitions that are to get machines, or have some."""
        if self._cache.format < PARTITIONS_FORMAT:
            return []
        wanted = {
            shard_name(cell.zone, cell.partition): None
            for cell, count in self.targets.items()
            if count > 0 and cell.partition in self.plan.partitions
        }
        for record in self._drafts.open_records().values():
            if partition_of(record.target) in self.plan.partitions:
                wanted[ShardName(record.target)] = None
        return list(wanted)

    def changes(
        self,
        now: Seconds,
        wall_time: Seconds,
        shards: list[ObservedShard],
        placed: Set[MachineId],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """Make one pass.

        Args:
            now: time of the leader's monotonic clock, in seconds.
            wall_time: Unix time, in seconds, which the records' times are in.
            shards: what the shards' owners told.
            placed: machines with slots that are held for gangs, or with their tasks.
            machine_lifecycle: the leader's drafts of machine groups, to which handovers are added.

        Returns:
            The writes of the pass, those of one transaction group in a row.
        """
        if self._cache.format < PARTITIONS_FORMAT:
            return []
        self._drafts.begin_pass()
        self._draining.begin_pass(now)
        self._index.refresh()
        selection = MachineSelection(now, self._cache, self._index, shards, placed)
        self._take_commands()
        if self.targets.known:
            self._balancer.request_transfers(wall_time, self.plan, self.targets)
        handovers = self._advance_transfers(now, wall_time, selection, shards, machine_lifecycle)
        return [
            *handovers,
            *self._drafts.writes(),
            *self._cleanup.transfer_removals(now, wall_time, self.plan),
            *self._shard_removals(),
        ]

    def _take_commands(self) -> None:
        """Draft what operators have commanded.

        Whoever put a command here removes it when its record is there, or when it is given up on.
        """
        for transfer, record in self.commands:
            known = self._drafts.record(transfer)
            if record is not None:
                if known is None:
                    self._drafts.request(transfer, record)
            elif known is not None and known.state != CANCELLED:
                self._drafts.cancel(transfer, "ordered")

    def _advance_transfers(
        self,
        now: Seconds,
        wall_time: Seconds,
        selection: MachineSelection,
        shards: list[ObservedShard],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """Bring each open transfer a step on, the earliest first; gives the handovers' writes."""
        handovers: list[ConditionalWrite] = []
        in_order = sorted(self._drafts.open_records().items(), key=lambda item: item[1].generation)
        for transfer, _ in in_order:
            if transfer not in self._drafts.open_records():
                continue  # a later one has taken over all that it drained
            self._draining.prune(transfer)
            if self._draining.end_overdue(now, wall_time, transfer, self.plan):
                continue
            writes = self._handover.hand_over(now, transfer, selection, shards, machine_lifecycle)
            if writes:
                handovers += writes
                self._draining.note_handover(transfer)
            else:
                self._draining.drain_more(now, transfer, selection)
        return handovers

    def _shard_removals(self) -> list[ConditionalWrite]:
        """Removals of shards; none before it is known which are wanted."""
        if not self.targets.known:
            return []
        return self._cleanup.shard_removals(self.wanted_shards())
