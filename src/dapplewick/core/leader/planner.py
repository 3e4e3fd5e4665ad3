"""The leader's planner: places waiting gangs, assigns array tasks to shards, sizes the cluster.

Each planning pass reads the stored records and the latest status of every shard, and returns the
writes to make. The next pass derives again every write that was not made. The leader is the grid
scheduler of the paper "Job Scheduling in a Distributed System Using Backfilling with Inaccurate
Runtime Computations".
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Set
from typing import Protocol

from dapplewick.config import Settings
from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.invariants import InvariantCounts
from dapplewick.core.leader.array_assignment import ArrayAssigner
from dapplewick.core.leader.array_order import ArrayOrder
from dapplewick.core.leader.capacity_requests import CapacityRequestPlanner
from dapplewick.core.leader.capacity_snapshots import CapacitySnapshotBuilder
from dapplewick.core.leader.cluster_scaling import SCALING_INTERVAL_S, ClusterAutoscaler
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.job_writes import JobWriteBuilder
from dapplewick.core.leader.limit_audit import LimitAudit
from dapplewick.core.leader.load_log import LoadLogger
from dapplewick.core.leader.machine_lifecycle import HeartbeatGap, MachineLifecycle
from dapplewick.core.leader.machine_types import MachineTypeWriter
from dapplewick.core.leader.observed_shard import ObservedShard, ObservedShards
from dapplewick.core.leader.planning_steps import PlanningStep, StepObserver, ignore_step
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.reconciliation import JobReconciler
from dapplewick.core.leader.scale_in import ScaleInPlanner
from dapplewick.core.leader.shard_contacts import ShardContacts
from dapplewick.core.leader.term_ids import TermIdGenerator
from dapplewick.core.leader.wait_reasons import WaitReasonReporter
from dapplewick.core.leader.waiting_gangs import GangPlacer
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
    """The leader's interface to the partitions of zones, for deployments that have partitions."""

    def update_starving_teams(self, wall_time: Seconds, jobs: Iterable[JobRecord]) -> None:
        """Record the waiting jobs, which may need machines reserved for other teams."""

    def served_teams(self, shard: ShardName) -> frozenset[str] | None:
        """Return the teams whose work may run in a shard, or None for all teams."""

    def changes(
        self,
        now: Seconds,
        wall_time: Seconds,
        shards: list[ObservedShard],
        placed: Set[MachineId],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """Return the writes that move machines between partitions."""


class LeaderPlanner:
    """Plans the cluster during one term of leadership.

    Attributes:
        shards: The reported state of each shard, by shard name.
        contacts: The time since the last contact with the owner of each shard.
        wait_reasons: The reasons why jobs wait.
        machine_lifecycle: The state of each machine, apart from its stored record.
        provisioning_responses: The cloud's responses to provisioning requests, by request name.
        partitions: Moves machines between partitions; None if zones have no partitions.
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
        # This constructor wires all components, so that one place shows their dependencies.
        tuning = tuning or Tuning()
        invariants = invariants or InvariantCounts()
        deployment = settings.deployment
        limits = deployment.state.lowest()
        zones = deployment.zones
        self._cache = cache
        self._controller_names = {settings.host_name, *(p.host_name for p in settings.peers)}
        self._zones = zones
        self._heartbeat_s = deployment.workers.report_s
        self._ids = TermIdGenerator(epoch)
        self._drafts = drafts = JobDrafts(cache)
        self._observed = observed = ObservedShards(cache, estimates)
        self._accelerator_demand = AcceleratorDemand(cache, deployment.classes_with_objectives())
        self._gang_demand = GangDemand(cache, tuning.spare_slots)
        self._provisioner = provisioner = Provisioner(
            cache,
            zones,
            epoch,
            tuning,
            requests_per_pass=deployment.cloud.rps
            * SCALING_INTERVAL_S
            / 2,  # deletions share the limit
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
        self._job_write_builder = JobWriteBuilder(cache, shard_names or zones, limits.value_bytes)
        self._machine_type_writer = MachineTypeWriter(cache, limits.value_bytes)
        self._job_reconciler = JobReconciler(cache, drafts, observed, tuning.patience_s)
        self._quotas = TeamQuotas(deployment.teams, drafts)
        self.contacts = ShardContacts(cache, zones, observed, invariants)
        self._limit_audit = LimitAudit(cache, observed, self.contacts, invariants)
        self._snapshot_builder = CapacitySnapshotBuilder(
            cache, drafts, observed, self._accelerator_demand
        )
        self._gang_placer = GangPlacer(
            drafts,
            self._quotas,
            self._accelerator_demand,
            provisioner,
            estimates,
            tuning,
            zones,
            self._ids,
        )
        self._array_order = ArrayOrder(
            drafts,
            self._quotas,
            estimates,
            deployment.objectives,
            deployment.classes_with_objectives(),
            tuning,
        )
        self._array_assigner = ArrayAssigner(drafts, self._quotas, observed, self._gang_demand)
        self._autoscaler = ClusterAutoscaler(
            cache,
            self.contacts,
            CapacityRequestPlanner(
                cache, zones, estimates, tuning, self._gang_demand, observed, drafts
            ),
            provisioner,
            ScaleInPlanner(
                cache, drafts, observed, provisioner, self._gang_demand, self.machine_lifecycle
            ),
            self.machine_lifecycle,
            self._ids,
            now,
        )
        self.wait_reasons = WaitReasonReporter(
            cache, drafts, observed, self.contacts, self._quotas, now
        )
        self._load_logger = LoadLogger(drafts, provisioner, now)
        self.shards = observed.by_name
        self.provisioning_responses = self._autoscaler.provisioning_responses
        self.partitions: PartitionRebalancer | None = None

    @property
    def epoch(self) -> FencingToken:
        """The fencing token of the leader's writes."""
        return self._ids.token

    @epoch.setter
    def epoch(self, token: FencingToken) -> None:
        self._ids.token = token

    @property
    def types(self) -> list[MachineType]:
        """The cloud's catalog of machine types; empty until the cloud has responded."""
        return self._machine_type_writer.catalog

    # Inputs

    def receive_shard_status(self, now: Seconds, status: ShardStatus) -> int:
        """Apply a shard's status; see `ObservedShards.receive`."""
        return self._observed.receive(now, status)

    def unreachable_shards(self) -> set[ShardName]:
        """Return the shards that need another owner; see `ObservedShards.unreachable_shards`."""
        return self._observed.unreachable_shards()

    def shards_without_contact(self, now: Seconds) -> set[ShardName]:
        """Return the shards whose owner cannot reach this leader, after recording all owners."""
        self.contacts.record_owners(now)
        return self.contacts.shards_without_contact(now)

    def record_provisioning_response(self, name: str, machines: list[MachineId] | None) -> None:
        """Record the machines provisioned for a request; None if the cloud refused it."""
        self.provisioning_responses[name] = machines

    def record_deleted_machines(self, machines: Iterable[MachineId]) -> None:
        """Record that the cloud has deleted these machines."""
        self.machine_lifecycle.record_deleted(machines)

    def receive_machine_list(self, now: Seconds, listing: MachineList) -> None:
        """Apply the cloud's latest list of machines."""
        self.machine_lifecycle.record_listed(now, listing)

    def receive_catalog(self, types: list[MachineType]) -> None:
        """Store the cloud's catalog of machine types."""
        self._machine_type_writer.catalog = types
        self._provisioner.set_catalog(types)

    def record_writes(self, now: Seconds, changes: Iterable[ConditionalWrite]) -> None:
        """Record that these changes have been stored."""
        for change in changes:
            job_id = job_of(change.key)
            if job_id is not None:
                self._job_write_builder.record_write(now, job_id)
            elif change.key.startswith(MACHINES):
                self.machine_lifecycle.record_written(now, change.key[len(MACHINES) :])

    # Planning pass

    def plan(
        self, now: Seconds, wall_time: Seconds, on_step: StepObserver = ignore_step
    ) -> list[ConditionalWrite]:
        """Run one planning pass.

        Args:
            now: The monotonic clock, in seconds.
            wall_time: The wall clock, in seconds, which is compared with submission times.
            on_step: Called when a step of the pass begins.

        Returns:
            The writes to make, by priority.
        """
        on_step(PlanningStep.RECONCILE)
        self._drafts.clear()
        self.contacts.record_owners(now)
        self.contacts.check(now)
        self._limit_audit.check(now)
        self.machine_lifecycle.begin()
        self._job_reconciler.reconcile(now)
        self._review_machines(now, wall_time)
        self._accelerator_demand.update(now, wall_time)
        self._gang_demand.update(now)
        self._quotas.recount()
        if self.partitions is not None:
            self.partitions.update_starving_teams(
                wall_time, (job for _, job in self._drafts.live_jobs())
            )
        on_step(PlanningStep.COUNT_CAPACITY)
        shard_capacities = self._snapshot_builder.build(now, self._served_teams)
        on_step(PlanningStep.PLACE_GANGS)
        self._gang_placer.place(wall_time, shard_capacities)
        on_step(PlanningStep.ASSIGN_ARRAYS)
        pending = self._array_order.pending(wall_time)
        eligible = self._array_order.eligible(wall_time, pending)
        self._array_assigner.assign(
            shard_capacities, eligible, self._array_order.overdue(wall_time, eligible)
        )
        on_step(PlanningStep.EXPLAIN_WAITS)
        self.wait_reasons.update(
            now,
            wall_time,
            shard_capacities,
            self._provisioner,
            self._autoscaler.unmet,
        )
        on_step(PlanningStep.SCALE)
        types = self._machine_type_writer.changes()
        requests = self._autoscaler.changes(now, wall_time, shard_capacities, pending)
        moves = self._partition_changes(now, wall_time)
        on_step(PlanningStep.DRAFT_WRITES)
        # Machine records precede the removal of the provisioning request that created the machines.
        # The write budget cuts off the end of this list; if it kept the removal and cut off the
        # record, the machine would have neither and would only be discovered later.
        changes = [
            *self._raise_format(),
            *self.machine_lifecycle.changes(),
            *types,
            *requests,
            *moves,
            *self._job_changes(now),
        ]
        changes.sort(key=lambda change: change.priority)
        self._load_logger.log_if_due(now, wall_time, shard_capacities, pending)
        return changes

    def _review_machines(self, now: Seconds, wall_time: Seconds) -> None:
        """Detect machines that have started, are unknown or must be terminated."""
        statuses: dict[MachineId, MachineStatus] = {}
        gaps: dict[MachineId, HeartbeatGap] = {}
        for shard in self._observed.owned():
            statuses.update(shard.machines)
            others_reachable = shard.latest_status.last_contact_age_s < self._heartbeat_s
            # Each status lists all machines without contact, not only the changed ones. An old
            # status understates how long the machines have been without contact.
            for machine_id, contact_gap in shard.latest_status.machine_contact_gaps.items():
                if not self._observed.has_moved(machine_id, shard):
                    gap = HeartbeatGap(contact_gap.gap_s, contact_gap.urgent, others_reachable)
                    gaps[machine_id] = gap
        self.machine_lifecycle.review(now, wall_time, statuses, gaps, self._zones)

    def _served_teams(self, shard: ShardName) -> frozenset[str] | None:
        return self.partitions.served_teams(shard) if self.partitions is not None else None

    def _partition_changes(self, now: Seconds, wall_time: Seconds) -> list[ConditionalWrite]:
        """Return the writes that move machines between partitions.

        Called after the other planning steps, so that no record of a machine group is written both
        for a move and for another reason in the same pass.
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
        """Raise the format of the records once every controller supports the newer format.

        The change is permanent: all controllers read the format record, and no write is conditional
        on it. So each controller in the settings must have published the formats it supports, since
        one that has not may still return with the older version.
        """
        supported = min(
            (
                self._cache.supported_formats.get(ControllerName(name), FIRST_FORMAT)
                for name in self._controller_names
            ),
            default=FIRST_FORMAT,
        )
        if self._cache.format >= supported:
            return []
        log.info("event=format_raised version=%d", supported)
        value, version = {"version": supported}, self._cache.version(FORMAT)
        return [ConditionalWrite(FORMAT, value, version, WritePriority.URGENT)]

    def _job_changes(self, now: Seconds) -> list[ConditionalWrite]:
        """Return the writes that store, split and clean up job records."""
        changes = self._job_write_builder.conversion_writes()
        for job_id in self._job_write_builder.oversized_placements():
            self._drafts.edit(job_id, WritePriority.NORMAL)
        for job_id, (job, priority) in self._drafts.items():
            changes += self._job_write_builder.changes(now, job_id, job, priority)
        return changes + self._job_write_builder.obsolete_key_removals(self._drafts.job_ids())
