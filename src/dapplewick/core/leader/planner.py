"""The leader: it places waiting gangs, assigns array tasks to shards and sizes the cluster.

Each pass looks at the records and the shards' newest statuses and says what to write; what was
not written is simply found again by the next pass. The leader is the grid scheduler of the paper,
"Job Scheduling in a Distributed System Using Backfilling with Inaccurate Runtime Computations".
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Set
from typing import Protocol

from dapplewick.config import Settings
from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.invariants import InvariantCounts
from dapplewick.core.leader.array_assignment import ArrayAssignment
from dapplewick.core.leader.array_order import ArrayOrder
from dapplewick.core.leader.capacity_requests import CapacityRequestPlanner
from dapplewick.core.leader.capacity_snapshots import CapacitySnapshotBuilder
from dapplewick.core.leader.cluster_scaling import SCALING_INTERVAL_S, ClusterScaling
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.job_writes import JobWrites
from dapplewick.core.leader.limit_audit import LimitAudit
from dapplewick.core.leader.load_log import LoadLog
from dapplewick.core.leader.machine_lifecycle import MachineLifecycle, ReportGap
from dapplewick.core.leader.machine_types import MachineTypes
from dapplewick.core.leader.observed_shard import ObservedShard, ObservedShards
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.reconciliation import Reconciliation
from dapplewick.core.leader.scale_in import ScaleIn
from dapplewick.core.leader.shard_contacts import ShardContacts
from dapplewick.core.leader.term_ids import TermIds
from dapplewick.core.leader.wait_reasons import WaitReasons
from dapplewick.core.leader.waiting_gangs import WaitingGangs
from dapplewick.protocol.cloud import MachineList, MachineType
from dapplewick.protocol.peers import MachineStatus, ShardStatus
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.formats import FIRST_FORMAT
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.keys import FORMAT, MACHINES, job_of
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.tuning import Tuning
from dapplewick.types import ControllerName, FencingToken, MachineId, Seconds, ShardName

log = logging.getLogger(__name__)


class PartitionRebalancer(Protocol):
    """What the leader needs of the partitions of zones, where there are any."""

    def note_waiting(self, wall_time: Seconds, jobs: Iterable[JobRecord]) -> None:
        """Note which jobs wait: they may wait for machines that are kept for other teams."""

    def served_teams(self, shard: ShardName) -> frozenset[str] | None:
        """The teams whose work may come to a shard; None: all teams."""

    def changes(
        self,
        now: Seconds,
        wall_time: Seconds,
        shards: list[ObservedShard],
        placed: Set[MachineId],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """The writes that move machines between partitions."""


class LeaderPlanner:
    """Plans of one term of leadership.

    Attributes:
        shards: What is known of each shard.
        contacts: How long ago each shard was heard.
        wait_reasons: Why work waits.
        machine_lifecycle: What is known of each machine, beside its record.
        provisioned: The cloud's answers to provisioning requests.
        partitions: Where zones have partitions, who moves machines between these.
    """

    def __init__(
        self,
        cache: WatchCache,
        settings: Settings,
        estimates: Estimates,
        epoch: FencingToken,
        now: Seconds,
        tuning: Tuning | None = None,
        shard_names: list[str] | None = None,
        invariants: InvariantCounts | None = None,
    ) -> None:
        # Long, but for one thing only: each piece is given what it needs, in one place to read.
        tuning = tuning or Tuning()
        invariants = invariants or InvariantCounts()
        deployment = settings.deployment
        limits = deployment.state.lowest()
        zones = deployment.zones
        self._cache = cache
        self._names = {settings.host_name, *(p.host_name for p in settings.peers)}
        self._zones = zones
        self._heartbeat_s = deployment.workers.report_s
        self._ids = TermIds(epoch)
        self._drafts = drafts = JobDrafts(cache)
        self._observed = observed = ObservedShards(cache, estimates)
        self._demand = AcceleratorDemand(cache, deployment.classes_with_objectives())
        self._gangs = GangDemand(cache, tuning.spare_slots)
        self._provisioner = provisioner = Provisioner(
            cache,
            zones,
            epoch,
            tuning,
            requests_per_pass=deployment.cloud.rps
            * SCALING_INTERVAL_S
            / 2,  # deletions are calls too
        )
        self.machine_lifecycle = MachineLifecycle(
            cache,
            provisioner,
            deployment.workers.lease_s,
            deployment.cloud.list_lag_s,
            limits.value_bytes,
            limits.txn_ops,
            self._heartbeat_s,
        )
        self._job_writes = JobWrites(cache, shard_names or zones, limits.value_bytes)
        self._machine_types = MachineTypes(cache, limits.value_bytes)
        self._reconciliation = Reconciliation(cache, drafts, observed, tuning.patience_s)
        self._quotas = TeamQuotas(deployment.teams, drafts)
        self.contacts = ShardContacts(cache, zones, observed, invariants)
        self._limit_audit = LimitAudit(cache, observed, self.contacts, invariants)
        self._capacity_view = CapacitySnapshotBuilder(cache, drafts, observed, self._demand)
        self._waiting_gangs = WaitingGangs(
            drafts, self._quotas, self._demand, provisioner, estimates, tuning, zones, self._ids
        )
        self._array_order = ArrayOrder(
            drafts,
            self._quotas,
            estimates,
            deployment.objectives,
            deployment.classes_with_objectives(),
            tuning,
        )
        self._array_assignment = ArrayAssignment(drafts, self._quotas, observed, self._gangs)
        self._scaling = ClusterScaling(
            cache,
            self.contacts,
            CapacityRequestPlanner(cache, zones, estimates, tuning, self._gangs, observed, drafts),
            provisioner,
            ScaleIn(cache, drafts, observed, provisioner, self._gangs, self.machine_lifecycle),
            self.machine_lifecycle,
            self._ids,
            now,
        )
        self.wait_reasons = WaitReasons(cache, drafts, observed, self.contacts, self._quotas, now)
        self._load_log = LoadLog(drafts, provisioner, now)
        self.shards = observed.by_name
        self.provisioned = self._scaling.cloud_answers
        self.partitions: PartitionRebalancer | None = None

    @property
    def epoch(self) -> FencingToken:
        """The fencing token under which the leader writes."""
        return self._ids.token

    @epoch.setter
    def epoch(self, token: FencingToken) -> None:
        self._ids.token = token

    @property
    def types(self) -> list[MachineType]:
        """The cloud's catalogue; empty until the cloud has answered."""
        return self._machine_types.catalog

    # Inputs

    def shard_status(self, now: Seconds, status: ShardStatus) -> int:
        """Take over a shard's status; see `ObservedShards.receive`."""
        return self._observed.receive(now, status)

    def unreachable_shards(self) -> set[ShardName]:
        """Shards that want another owner; see `ObservedShards.unreachable`."""
        return self._observed.unreachable_shards()

    def shards_without_contact(self, now: Seconds) -> set[ShardName]:
        """Shards whose owner can't reach this leader; see `ShardContacts.unheard`."""
        self.contacts.record_owners(now)
        return self.contacts.shards_without_contact(now)

    def provisioning_answered(self, name: str, machines: list[MachineId] | None) -> None:
        """Note which machines the cloud gave for a provisioning request; None if it refused."""
        self.provisioned[name] = machines

    def machines_deleted(self, machines: Iterable[MachineId]) -> None:
        """Note that the cloud has deleted these machines."""
        self.machine_lifecycle.record_deleted(machines)

    def machines_listed(self, now: Seconds, listing: MachineList) -> None:
        """Take over the cloud's newest list of machines."""
        self.machine_lifecycle.record_listed(now, listing)

    def catalog(self, types: list[MachineType]) -> None:
        """Take over the cloud's catalogue."""
        self._machine_types.catalog = types
        self._provisioner.set_catalog(types)

    def written(self, now: Seconds, changes: Iterable[ConditionalWrite]) -> None:
        """Note that these changes are stored."""
        for change in changes:
            job_id = job_of(change.key)
            if job_id is not None:
                self._job_writes.written(now, job_id)
            elif change.key.startswith(MACHINES):
                self.machine_lifecycle.record_written(now, change.key[len(MACHINES) :])

    # The pass

    def plan(self, now: Seconds, wall_time: Seconds) -> list[ConditionalWrite]:
        """Decide what to write now.

        Args:
            now: The steady clock.
            wall_time: The wall clock, which is compared with times of submission.

        Returns:
            The writes, those that matter most first.
        """
        self._drafts.clear()
        self.contacts.record_owners(now)
        self.contacts.check(now)
        self._limit_audit.check(now)
        self.machine_lifecycle.begin()
        self._reconciliation.reconcile(now)
        self._review_machines(now, wall_time)
        self._demand.update(now, wall_time)
        self._gangs.update(now)
        self._quotas.recount()
        if self.partitions is not None:
            self.partitions.note_waiting(wall_time, (job for _, job in self._drafts.live_jobs()))
        shard_capacities = self._capacity_view.build(now, self._served_teams)
        self._waiting_gangs.place(wall_time, shard_capacities)
        pending = self._array_order.pending(wall_time)
        eligible = self._array_order.behind_gangs(wall_time, pending)
        self._array_assignment.assign(
            shard_capacities, eligible, self._array_order.overdue(wall_time, eligible)
        )
        self.wait_reasons.note(
            now,
            wall_time,
            shard_capacities,
            self._provisioner,
            self._scaling.unmet,
        )
        types = self._machine_types.changes()
        requests = self._scaling.changes(now, wall_time, shard_capacities, pending)
        moves = self._partition_changes(now, wall_time)
        # Machines before the end of the provisioning request that they came of: what the budget
        # cuts off is the end of this list, and a machine without record or request is found only
        # later.
        changes = [
            *self._raise_format(),
            *self.machine_lifecycle.changes(),
            *types,
            *requests,
            *moves,
            *self._job_changes(now),
        ]
        changes.sort(key=lambda change: change.priority)
        self._load_log.note(now, wall_time, shard_capacities, pending)
        return changes

    def _review_machines(self, now: Seconds, wall_time: Seconds) -> None:
        """Look for machines that came up, turned out unknown, or have to go."""
        statuses: dict[MachineId, MachineStatus] = {}
        silences: dict[MachineId, ReportGap] = {}
        for shard in self._observed.owned():
            statuses.update(shard.machines)
            others_heard = shard.latest_status.heard_ago_s < self._heartbeat_s
            # What a shard has not heard for long is told in full each time; a status that is
            # itself old says less than its age.
            for machine_id, silent in shard.latest_status.silent.items():
                if not self._observed.has_moved(machine_id, shard):
                    silence = ReportGap(silent.silent_s, silent.urgent, others_heard)
                    silences[machine_id] = silence
        self.machine_lifecycle.review(now, wall_time, statuses, silences, self._zones)

    def _served_teams(self, shard: ShardName) -> frozenset[str] | None:
        return self.partitions.served_teams(shard) if self.partitions is not None else None

    def _partition_changes(self, now: Seconds, wall_time: Seconds) -> list[ConditionalWrite]:
        """Move machines between partitions.

        After all else of this pass, so that no group is written for a move and for another reason
        at once.
        """
        if self.partitions is None:
            return []
        placed: set[MachineId] = set()
        if self._cache.transfers:
            for _, job in self._drafts.live_jobs():
                if job.gang is not None:
                    placed.update(MachineId(machine) for _, machine in job.gang.placements)
        return self.partitions.changes(
            now, wall_time, self._observed.owned(), placed, self.machine_lifecycle
        )

    def _raise_format(self) -> list[ConditionalWrite]:
        """Raise the format of the records once every controller understands the newer one.

        That is for good, since the record of it is a condition of nothing and read by all. So each
        controller that is named in the settings has to be seen first: one that was not heard of
        may yet come back with the older version.
        """
        understood = min(
            (
                self._cache.understood.get(ControllerName(name), FIRST_FORMAT)
                for name in self._names
            ),
            default=FIRST_FORMAT,
        )
        if self._cache.format >= understood:
            return []
        log.info("event=format_raised version=%d", understood)
        value, version = {"version": understood}, self._cache.version(FORMAT)
        return [ConditionalWrite(FORMAT, value, version, WritePriority.URGENT)]

    def _job_changes(self, now: Seconds) -> list[ConditionalWrite]:
        """The writes for all drafts of jobs, and those that cut or tidy up their records."""
        changes = self._job_writes.convert()
        for job_id in self._job_writes.oversized_placements():
            self._drafts.edit(job_id, WritePriority.NORMAL)
        for job_id, (job, priority) in self._drafts.items():
            changes += self._job_writes.changes(now, job_id, job, priority)
        return changes + self._job_writes.leftovers(self._drafts.job_ids())
