"""Scheduler of one shard: machines of one zone, their slots, queues, reservations and backfill.

The scheduler is a state machine without I/O. Its inputs are heartbeats, changed records and the
time; its outputs are commands for the machine that sent a heartbeat and a status for the leader.
The cost of handling a heartbeat depends on the sending machine, not on the number of machines.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Iterator

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.backfill import BackfillPolicy
from dapplewick.core.shard.candidates import CandidateSelector
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.free_capacity import FreeCapacity
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.heartbeats import HeartbeatReconciler
from dapplewick.core.shard.images import ImageIndex
from dapplewick.core.shard.joining import TaskAssigner
from dapplewick.core.shard.launches import TaskLauncher
from dapplewick.core.shard.machine_health import MachineHealth
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.preemption import PreemptionSelector
from dapplewick.core.shard.queues import TaskQueues
from dapplewick.core.shard.replicas import ReplicaPlacement
from dapplewick.core.shard.slow_machines import SlowMachineDetector
from dapplewick.core.shard.state import EXITED, Machine
from dapplewick.core.shard.status import StatusReporter
from dapplewick.core.shard.stops import TaskStopper
from dapplewick.core.shard.task_exits import TaskExitHandler
from dapplewick.core.shard.work_stealing import WorkStealer
from dapplewick.protocol.peers import ShardStatus
from dapplewick.protocol.workers import Command, Heartbeat
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import NEVER_S, FencingToken, JobId, MachineId, Seconds, ShardName, zone_of

log = logging.getLogger(__name__)

STALL_THRESHOLD_S = 2.0  # after a longer gap between ticks, the process may have unread heartbeats
FULL_SCAN_INTERVAL_S = 1.0  # time between scans of all machines, reservations and waiting tasks


class ShardScheduler:
    """Schedules one shard on behalf of its owner.

    Args:
        shard: The shard's name, which includes its zone.
        token: The fencing token of this ownership.
        cache: The watched records.
        estimates: Run-time estimates, shared by all shards of this controller.
        now: The monotonic clock, in seconds.
        tuning: Parameters that a deployment may change.
        seed: Combined with the token to seed the random generator.
        classes_with_objectives: The job classes for which users set objectives.
        lease_s: How long a machine continues its tasks without a response to a heartbeat.
        heartbeat_interval_s: The interval between a machine's heartbeats.
    """

    def __init__(
        self,
        shard: ShardName,
        token: FencingToken,
        cache: WatchCache,
        estimates: Estimates,
        now: Seconds,
        *,
        tuning: Tuning | None = None,
        seed: int = 0,
        classes_with_objectives: frozenset[str] = frozenset(),
        lease_s: Seconds = 15.0,
        heartbeat_interval_s: Seconds = 2.5,
    ) -> None:
        tuning = tuning or Tuning()
        self.shard = shard
        self.token = token
        self.cache = cache
        self.estimates = estimates
        self._ticked_at = now
        self._full_scan_at = NEVER_S
        # This constructor is long because it creates all components in the order of their
        # dependencies. The components that hold the shared state come first.
        self._changes = changes = ChangeLog()
        self._machines = machines = MachineTable(cache, changes)
        self.machines = machines.by_id
        self.queues = queues = TaskQueues()
        self.images = images = ImageIndex()
        self.unreconciled: set[MachineId] = set()
        self._tasks = tasks = ArrayTaskTable(cache, machines, queues, images, changes)
        self.array_tasks = tasks.by_job
        self._gang_reservations = gang_reservations = GangReservationTable(
            shard, cache, machines, changes
        )
        self.reservations = gang_reservations.by_job
        # Components that decide which tasks fit on which machines.
        constraints = PlacementConstraints(zone_of(shard))
        accelerators = AcceleratorDemand(cache, classes_with_objectives)
        gang_demand = GangDemand(cache, tuning.spare_slots)
        self._health = health = MachineHealth(shard, cache, changes, lease_s, now)
        self._slow_machine_detector = slow_machine_detector = SlowMachineDetector()
        self.backfill = backfill = BackfillPolicy(
            estimates, machines, gang_reservations, tuning.threshold_s
        )
        self._free_capacity = free_capacity = FreeCapacity(
            cache, machines, accelerators, gang_demand
        )
        self._replicas = replicas = ReplicaPlacement(
            cache, machines, constraints, gang_reservations, heartbeat_interval_s
        )
        candidates = CandidateSelector(
            cache, tasks, constraints, free_capacity, gang_reservations, backfill
        )
        # Components that act on heartbeats and ticks.
        self._exit_handler = exit_handler = TaskExitHandler(
            cache, estimates, tasks, gang_reservations, slow_machine_detector, changes
        )
        self._reconciler = HeartbeatReconciler(
            self.unreconciled,
            machines,
            tasks,
            gang_reservations,
            images,
            health,
            exit_handler,
            changes,
        )
        generator = random.Random(seed ^ token)
        self._assigner = TaskAssigner(
            machines,
            tasks,
            queues,
            images,
            constraints,
            free_capacity,
            gang_reservations,
            backfill,
            replicas,
            generator,
        )
        self._stopper = TaskStopper(
            cache,
            tasks,
            gang_reservations,
            replicas,
            PreemptionSelector(cache, tasks, gang_reservations),
        )
        stealer = WorkStealer(queues, tasks, candidates)
        self._launcher = TaskLauncher(
            token, machines, tasks, queues, images, gang_reservations, candidates, stealer
        )
        self._reporter = StatusReporter(
            shard,
            token,
            cache,
            estimates,
            machines,
            tasks,
            gang_reservations,
            health,
            backfill,
            changes,
            self.unreconciled,
        )
        accelerators.update(now, now)
        self._rebuild_state(now)

    def _rebuild_state(self, now: Seconds) -> None:
        """Rebuild the previous owner's state from the records; heartbeats complete it.

        "A controller taking over rebuilds queues and holds from reports and records before
        placing" (the design).
        """
        # Tasks that were assigned before this ownership may be on any machine that the previous
        # owner could use. They wait until each of these machines has sent a heartbeat with this
        # shard's token or was deleted.
        for machine_id, record in self.cache.machines.items():
            if record.shard == self.shard and record.up:
                self.unreconciled.add(machine_id)
                self._machines.get_or_add(machine_id, now)
        for job_id in list(self.cache.live_jobs):
            self.job_changed(now, job_id, failover=True)
        self._reconciler.requeue_if_all_reconciled(now)

    @property
    def dirty(self) -> bool:
        """Whether a change should be reported to the leader soon."""
        return self._changes.dirty

    @dirty.setter
    def dirty(self, dirty: bool) -> None:
        self._changes.dirty = dirty

    def token_for(self, machine_id: MachineId) -> FencingToken:
        """The fencing token in commands to a machine's worker."""
        return self.cache.token_for(machine_id, self.token)

    # Records

    def job_changed(self, now: Seconds, job_id: JobId, failover: bool = False) -> None:
        """Apply a change of a job's record.

        Args:
            now: The monotonic clock, in seconds.
            job_id: The job.
            failover: Whether a previous owner may have acted on the record.
        """
        job = self.cache.jobs.get(job_id)
        assigned = job.assigned(self.shard) - job.done if job is not None and job.open else set()
        replicas_wait = self._tasks.apply_record(now, job_id, job, assigned, failover)
        self._gang_reservations.apply_record(now, job_id, job, failover)
        self._changes.dirty = True
        if replicas_wait:
            # Not left to the next tick, because users wait for replicas.
            self._assigner.assign_unqueued(now)

    def machine_changed(self, now: Seconds, machine_id: MachineId) -> None:
        """Apply a change of a machine's record; a deleted record removes the machine."""
        record = self.cache.machines.get(machine_id)
        self._changes.record_machine(machine_id)
        if record is None:
            self._remove_machine(now, machine_id)
            return
        machine = self.machines.get(machine_id)
        if machine is not None and record.shard != self.shard:
            self._drop_transferred_machine(machine)
        elif machine is not None:
            self._health.update_usable(now, machine)
        elif record.shard == self.shard and record.up and record.min_token:
            # The machine was transferred to this shard. With an entry in the table it is reported
            # as without contact if it never sends a heartbeat.
            self._machines.get_or_add(machine_id, now)

    def _remove_machine(self, now: Seconds, machine_id: MachineId) -> None:
        self.unreconciled.discard(machine_id)
        machine = self.machines.pop(machine_id, None)
        had_replicas = False
        if machine is not None:
            had_replicas = machine.has_replicas() or any(s.holds_replica for s in machine.slots)
            self.images.clear(machine)
            self._tasks.requeue_slots(machine)
            for task in list(machine.task_attempts):
                self._reconciler.record_missing(now, machine, task, "machine gone")
        self._gang_reservations.fail_attempts_on(machine_id)
        self._reconciler.requeue_if_all_reconciled(now)
        self._changes.dirty = True
        if had_replicas:
            # Not left to the next tick, because users wait for replicas.
            self._assigner.assign_unqueued(now)

    def _drop_transferred_machine(self, machine: Machine) -> None:
        """Remove a machine that was transferred to another shard.

        This shard reported the machine as empty before the transfer, so none of its tasks can be
        on it, and no task is restarted elsewhere because of the removal.
        """
        self.images.clear(machine)
        self._tasks.requeue_slots(machine)
        for task in machine.task_attempts:
            log.error("event=machine_transferred_with_task task=%s/%d", task.job, task.task_index)
        self.unreconciled.discard(machine.id)
        del self.machines[machine.id]
        self._changes.dirty = True

    # Heartbeats

    def record_heartbeats_refused(self, now: Seconds) -> None:
        """Record that heartbeats are refused, so that machines do not count as unreachable."""
        self._health.accepting_heartbeats_since = now

    def handle_heartbeat(
        self, now: Seconds, heartbeat: Heartbeat, may_launch: bool
    ) -> list[Command]:
        """Handle a worker's heartbeat.

        Args:
            now: The monotonic clock, in seconds.
            heartbeat: The heartbeat; outdated copies and other shards' machines are ignored.
            may_launch: Whether the records are current enough to start tasks.

        Returns:
            The commands for the sending machine.
        """
        machine = self._heartbeat_machine(now, heartbeat)
        if machine is None:
            return []
        is_new_incarnation = self._health.apply_heartbeat(now, machine, heartbeat)
        if is_new_incarnation:
            self.images.clear(machine)
        # The previous owner's start commands may still be in transit when a machine sends a
        # heartbeat without this shard's token, so that heartbeat may lack tasks which start later.
        # Only a heartbeat with the token proves that a task is not on the machine.
        is_current = heartbeat.token == self.token_for(machine.id)
        if is_current:
            self._reconciler.record_confirmed(now, machine)
        had_tasks = bool(machine.task_attempts)
        commands = self._reconciler.reconcile_tasks(
            now, machine, heartbeat, is_current, is_new_incarnation
        )
        if is_current:
            self._reconciler.requeue_if_all_reconciled(now)
        self._gang_reservations.update_readiness_on(machine.id)
        commands += self._stopper.stop_commands(now, machine)
        commands += self._start_commands(now, machine, may_launch and is_current)
        if machine.stored_results:
            commands = self._forget_commands(now, machine, bool(commands)) + commands
        self._update_idle_since(now, machine, had_tasks)
        return commands

    def _heartbeat_machine(self, now: Seconds, heartbeat: Heartbeat) -> Machine | None:
        """The machine that sent a heartbeat; None if the heartbeat must be ignored."""
        record = self.cache.machines.get(heartbeat.machine)
        if record is None or record.shard != self.shard:
            # The machine belongs to another shard or has no record. Without a record, it either
            # never got a task or was deleted, and a delayed heartbeat must not add it again with
            # its tasks.
            return None
        machine = self._machines.get_or_add(heartbeat.machine, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= machine.newest_heartbeat:
            return None
        return machine

    def _start_commands(self, now: Seconds, machine: Machine, may_launch: bool) -> list[Command]:
        is_usable = self._health.update_usable(now, machine)
        if is_usable and may_launch:
            return self._launcher.launch(now, machine)
        if may_launch and self._health.is_healthy_but_draining(now, machine):
            # A ready gang starts in its reserved slots before the machine is transferred.
            return self._launcher.launch_gangs(now, machine)
        return []

    def _forget_commands(self, now: Seconds, machine: Machine, has_commands: bool) -> list[Command]:
        is_draining = self.cache.transfers.draining_transfer(machine.id) is not None
        return self._exit_handler.forget_stored(now, machine, is_draining or has_commands)

    def _update_idle_since(self, now: Seconds, machine: Machine, had_tasks: bool) -> None:
        """Reset a machine's idle time while it has work other than replicas."""
        # Replicas keep a machine in use, but time with only replicas counts as idle time, which
        # decides when an expensive machine is drained.
        is_busy = any(
            task_attempt.stage != EXITED
            and not (task_attempt.spec is not None and task_attempt.spec.is_service)
            for task_attempt in machine.task_attempts.values()
        )
        # A machine that has just lost all its tasks, for example because its lease ended in an
        # outage, is not idle yet.
        has_lost_all = had_tasks and not machine.task_attempts
        if is_busy or has_lost_all or self._gang_reservations.waiting_on(machine.id):
            machine.idle_since = now

    # Time

    def tick(self, now: Seconds, wall_time: Seconds = 0.0, watch_current: bool = True) -> None:
        """Run the periodic work.

        Args:
            now: The monotonic clock, in seconds.
            wall_time: The wall clock, in seconds, which is compared with submission times.
            watch_current: Whether the record watch is current, so that the leader may be working.
        """
        if now - self._ticked_at > STALL_THRESHOLD_S:
            # The process was stalled, and heartbeats from that time are still unread. Without this
            # reset, all machines with replicas were deleted as unreachable after a stall.
            self._health.accepting_heartbeats_since = now
        self._ticked_at = now
        self._tasks.requeue_delayed(now)
        if now - self._full_scan_at >= FULL_SCAN_INTERVAL_S:
            self._full_scan_at = now
            self._full_scan(now, wall_time, watch_current)
        self._assigner.assign_unqueued(now)

    def _full_scan(self, now: Seconds, wall_time: Seconds, watch_current: bool) -> None:
        self._slow_machine_detector.update(self.machines.values())
        self._free_capacity.update(now, wall_time)
        for machine in self.machines.values():
            if not self._health.update_usable(now, machine) and machine.slots:
                self._tasks.requeue_slots(machine)
        self._gang_reservations.update_readiness()
        for machine in self._replicas.drain_expensive(now, bool(self.queues.unqueued)):
            self._health.update_usable(now, machine)
        if watch_current:
            # During an outage no leader could assign a released task to another shard, while it
            # may still start in this one.
            self._tasks.release_overdue(now)

    # Status

    def status(self, now: Seconds, base: int = 0) -> ShardStatus:
        """The status for the leader: all changes after the status with number `base`."""
        return self._reporter.status(now, base)

    def running_counts(self) -> Iterator[tuple[JobId, int]]:
        """The number of running tasks on this shard's machines by job, for display."""
        return self._reporter.running_counts()
