"""The leader's rebalancing: transfers are requested, drained, handed over and ended.

The rebalancer is a state machine without I/O. Each pass reads the cached records and the statuses
of the shards' owners, and returns the writes to make. Every write is conditional on the record
versions that it is based on, so a process may fail after any step: a machine is in exactly one
partition at each revision.
"""

from __future__ import annotations

from collections.abc import Iterable, Set

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.partitions.balancing import Balancer
from dapplewick.partitions.cleanup import RecordCleaner
from dapplewick.partitions.draining import MachineDrainer
from dapplewick.partitions.handover import HandoverDrafter
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.selection import MachineSelector
from dapplewick.partitions.targets import TargetsInForce
from dapplewick.partitions.timing import TransferDurations, TransferStopwatch
from dapplewick.partitions.transfer_drafts import TransferCommand, TransferDrafts
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.formats import PARTITIONS_FORMAT
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.transfers import CANCELLED
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, Seconds, ShardName, partition_of, shard_name

LOAN_DELAY_S = 30.0  # wait of a job before its team may borrow other teams' idle capacity


class PartitionRebalancer:
    """Moves machines between the partitions of zones, during one term of leadership.

    Attributes:
        plan: the operators' plan in force.
        targets: the target number of machines of each type and zone in each partition.
        commands: operators' moves and cancellations that are not yet confirmed as stored.
    """

    def __init__(
        self,
        cache: WatchCache,
        index: MachineIndex,
        zones: Iterable[str],
        durations: TransferDurations,
    ) -> None:
        self.plan = PartitionPlan()
        self.targets = TargetsInForce()
        self.commands: list[TransferCommand] = []
        self._cache = cache
        self._index = index
        self._starving_teams: frozenset[str] = frozenset()
        self._drafts = TransferDrafts(cache)
        stopwatch = TransferStopwatch(durations)
        self._balancer = Balancer(cache, index, zones, self._drafts)
        self._drainer = MachineDrainer(cache, self._drafts, stopwatch)
        self._handover_drafter = HandoverDrafter(cache, self._drafts, stopwatch)
        self._cleaner = RecordCleaner(cache, index, self._drafts)

    def update_starving_teams(self, wall_time: Seconds, jobs: Iterable[JobRecord]) -> None:
        """Find the teams that may borrow idle capacity of all partitions.

        These teams have a job that has waited for more than `LOAN_DELAY_S` and has neither a placed
        gang nor any assigned or done task. Without loans their work would wait although idle
        capacity fits it.
        """
        self._starving_teams = frozenset(
            job.spec.team
            for job in jobs
            if job.open
            and not job.done
            and job.gang is None
            and not any(job.assignments.values())
            and wall_time - job.submitted_at > LOAN_DELAY_S
        )

    def served_teams(self, shard: ShardName) -> frozenset[str] | None:
        """The teams whose work may be placed in a shard; None (all) for a zone's default shard."""
        name = partition_of(shard)
        if not name:
            return None
        partition = self.plan.partitions.get(name)
        if partition is None:
            return frozenset()
        return frozenset(partition.teams) | self._starving_teams

    def required_shards(self) -> list[ShardName]:
        """The shards of the plan's partitions that need an owner.

        These have a target above 0 or receive machines by an open transfer.
        """
        if self._cache.format < PARTITIONS_FORMAT:
            return []
        required = {
            shard_name(cell.zone, cell.partition): None
            for cell, count in self.targets.items()
            if count > 0 and cell.partition in self.plan.partitions
        }
        for record in self._drafts.open_records().values():
            if partition_of(record.target) in self.plan.partitions:
                required[ShardName(record.target)] = None
        return list(required)

    def changes(
        self,
        now: Seconds,
        wall_time: Seconds,
        shards: list[ObservedShard],
        placed: Set[MachineId],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """Make one rebalancing pass.

        Args:
            now: time of the leader's monotonic clock, in seconds.
            wall_time: Unix time, in seconds, as used in the records.
            shards: the shards' state, as their owners reported it.
            placed: machines with tasks of gangs, or with slots reserved for gangs.
            machine_lifecycle: the leader's drafts of machine groups, which handovers extend.

        Returns:
            The writes of the pass, with those of one transaction group next to each other.
        """
        if self._cache.format < PARTITIONS_FORMAT:
            return []
        self._drafts.begin_pass()
        self._drainer.begin_pass(now)
        self._index.refresh()
        selector = MachineSelector(now, self._cache, self._index, shards, placed)
        self._draft_commands()
        if self.targets.known:
            self._balancer.request_transfers(wall_time, self.plan, self.targets)
        handovers = self._advance_transfers(now, wall_time, selector, shards, machine_lifecycle)
        return [
            *handovers,
            *self._drafts.writes(),
            *self._cleaner.transfer_removals(now, wall_time, self.plan),
            *self._shard_removals(),
        ]

    def _draft_commands(self) -> None:
        """Draft the operators' pending commands.

        `OperatorCommandHandler` removes a command once its record is stored or its time limit
        expires.
        """
        for transfer, record in self.commands:
            existing = self._drafts.record(transfer)
            if record is not None:
                if existing is None:
                    self._drafts.request(transfer, record)
            elif existing is not None and existing.state != CANCELLED:
                self._drafts.cancel(transfer, "ordered")

    def _advance_transfers(
        self,
        now: Seconds,
        wall_time: Seconds,
        selector: MachineSelector,
        shards: list[ObservedShard],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """Advance each open transfer, oldest first, and return the writes of handovers."""
        handovers: list[ConditionalWrite] = []
        in_order = sorted(self._drafts.open_records().items(), key=lambda item: item[1].generation)
        for transfer, _ in in_order:
            if transfer not in self._drafts.open_records():
                continue  # cancelled in this pass, as a later transfer took over its machines
            self._drainer.remove_unavailable(transfer)
            if self._drainer.end_overdue(now, wall_time, transfer, self.plan):
                continue
            writes = self._handover_drafter.hand_over(
                now, transfer, selector, shards, machine_lifecycle
            )
            if writes:
                handovers += writes
                self._drainer.record_handover(transfer)
            else:
                self._drainer.drain_more(now, transfer, selector)
        return handovers

    def _shard_removals(self) -> list[ConditionalWrite]:
        """The removals of unused shards; none before the targets are known."""
        if not self.targets.known:
            return []
        return self._cleaner.shard_removals(self.required_shards())
