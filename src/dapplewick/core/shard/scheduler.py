"""One shard: the machines of one zone, their slots and queues, reservations and backfill.

A state machine without I/O: it is given heartbeats and changed records together with the time,
and answers with commands for the machine that was heard and with a status for the leader. The
work for a heartbeat depends on the machine that sent it, not on how many there are.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Iterator

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.shard.array_tasks import ArrayTasks
from dapplewick.core.shard.backfill import Backfill
from dapplewick.core.shard.candidates import Candidates
from dapplewick.core.shard.changes import ChangeLog
from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.free_capacity import FreeCapacity
from dapplewick.core.shard.gang_reservations import GangReservations
from dapplewick.core.shard.heartbeats import HeartbeatReconciler
from dapplewick.core.shard.images import Images
from dapplewick.core.shard.joining import Joining
from dapplewick.core.shard.launches import Launches
from dapplewick.core.shard.machine_health import MachineHealth
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.preemption import Preemption
from dapplewick.core.shard.queues import Queues
from dapplewick.core.shard.replicas import ReplicaPlacement
from dapplewick.core.shard.slow_machines import SpeedComparison
from dapplewick.core.shard.state import EXITED, Machine
from dapplewick.core.shard.status import StatusReporter
from dapplewick.core.shard.stops import Stops
from dapplewick.core.shard.task_exits import TaskExits
from dapplewick.core.shard.work_stealing import WorkStealing
from dapplewick.protocol.peers import ShardStatus
from dapplewick.protocol.workers import Command, Heartbeat
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import NEVER_S, FencingToken, JobId, MachineId, Seconds, ShardName, zone_of

log = logging.getLogger(__name__)

STALL_S = 2.0  # a process that ticks later than this may have heartbeats it has not read
SLOW_TICK_S = 1.0  # what looks at all machines, reservations and waiting tasks is done this often


class ShardScheduler:
    """The owner's view of one shard.

    Args:
        shard: The shard's name, of which its zone is a part.
        token: The fencing token of this ownership.
        cache: The records, as they are followed.
        estimates: Run times, learned by all shards of this controller.
        now: The time.
        tuning: Values that a deployment may change.
        seed: What is drawn depends on this and the token.
        classes_with_objectives: The classes of jobs of which users say what they expect.
        lease_s: How long a machine goes on without an answer.
        report_s: How often a machine sends heartbeats.
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
        report_s: Seconds = 2.5,
    ) -> None:
        tuning = tuning or Tuning()
        self.shard = shard
        self.token = token
        self.cache = cache
        self.estimates = estimates
        self._ticked_at = now
        self._slow_ticked_at = NEVER_S
        # Long, as it does but one thing: it gives each piece the others that it needs, in the
        # order in which they depend on one another. First, what the pieces share.
        self._changes = changes = ChangeLog()
        self._machines = machines = MachineTable(cache, changes)
        self.machines = machines.by_id
        self.queues = queues = Queues()
        self.images = images = Images()
        self.unreconciled: set[MachineId] = set()
        self._tasks = tasks = ArrayTasks(cache, machines, queues, images, changes)
        self.array_tasks = tasks.by_job
        self._gangs = gangs = GangReservations(shard, cache, machines, changes)
        self.reservations = gangs.by_job
        # What judges: which machines and tasks are fit for one another.
        constraints = PlacementConstraints(zone_of(shard))
        accelerators = AcceleratorDemand(cache, classes_with_objectives)
        gang_demand = GangDemand(cache, tuning.spare_slots)
        self._health = health = MachineHealth(shard, cache, changes, lease_s, now)
        self._speed = speed = SpeedComparison()
        self.backfill = backfill = Backfill(estimates, machines, gangs, tuning.threshold_s)
        self._free_capacity = capacity = FreeCapacity(cache, machines, accelerators, gang_demand)
        self._replicas = replicas = ReplicaPlacement(cache, machines, constraints, gangs, report_s)
        candidates = Candidates(cache, tasks, constraints, capacity, gangs, backfill)
        # What acts, as heartbeats and time demand it.
        self._exits = exits = TaskExits(cache, estimates, tasks, gangs, speed, changes)
        self._reconciler = HeartbeatReconciler(
            self.unreconciled, machines, tasks, gangs, images, health, exits, changes
        )
        generator = random.Random(seed ^ token)
        self._joining = Joining(
            machines,
            tasks,
            queues,
            images,
            constraints,
            capacity,
            gangs,
            backfill,
            replicas,
            generator,
        )
        self._stops = Stops(cache, tasks, gangs, replicas, Preemption(cache, tasks, gangs))
        stealing = WorkStealing(queues, tasks, candidates)
        self._launches = Launches(
            token, machines, tasks, queues, images, gangs, candidates, stealing
        )
        self._reporter = StatusReporter(
            shard,
            token,
            cache,
            estimates,
            machines,
            tasks,
            gangs,
            health,
            backfill,
            changes,
            self.unreconciled,
        )
        accelerators.update(now, now)
        self._take_over(now)

    def _take_over(self, now: Seconds) -> None:
        """Rebuild what the old owner knew from the records; heartbeats tell the rest.

        "A controller taking over rebuilds queues and holds from reports and records before
        placing" (the design).
        """
        # Tasks assigned before this ownership may be on any machine the old owner could use:
        # until each of those was heard under our token, or is deleted, they wait.
        for machine_id, record in self.cache.machines.items():
            if record.shard == self.shard and record.up:
                self.unreconciled.add(machine_id)
                self._machines.get_or_add(machine_id, now)
        for job_id in list(self.cache.live_jobs):
            self.job_changed(now, job_id, failover=True)
        self._reconciler.requeue_if_all_reconciled(now)

    @property
    def dirty(self) -> bool:
        """Whether anything happened that the leader should hear of soon."""
        return self._changes.dirty

    @dirty.setter
    def dirty(self, dirty: bool) -> None:
        self._changes.dirty = dirty

    def token_for(self, machine_id: MachineId) -> FencingToken:
        """The token that commands to a machine's worker carry."""
        return self.cache.token_for(machine_id, self.token)

    # Records

    def job_changed(self, now: Seconds, job_id: JobId, failover: bool = False) -> None:
        """A job's record has changed.

        Args:
            now: The time.
            job_id: The job.
            failover: Whether an earlier owner may have acted on the record.
        """
        job = self.cache.jobs.get(job_id)
        assigned = job.assigned(self.shard) - job.done if job is not None and job.open else set()
        replicas_wait = self._tasks.follow_record(now, job_id, job, assigned, failover)
        self._gangs.follow_record(now, job_id, job, failover)
        self._changes.dirty = True
        if replicas_wait:
            self._joining.join_all(now)  # not only with the next tick: users wait for them

    def machine_changed(self, now: Seconds, machine_id: MachineId) -> None:
        """A machine's record has changed; without one it is gone, with all that was on it."""
        record = self.cache.machines.get(machine_id)
        self._changes.machine(machine_id)
        if record is None:
            self._remove_machine(now, machine_id)
            return
        machine = self.machines.get(machine_id)
        if machine is not None and record.shard != self.shard:
            self._hand_over(machine)
        elif machine is not None:
            self._health.note_usable(now, machine)
        elif record.shard == self.shard and record.up and record.min_token:
            # Handed over to us: if it is never heard, it is to be seen as silent.
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
                self._reconciler.note_gone(now, machine, task, "machine gone")
        self._gangs.machine_gone(machine_id)
        self._reconciler.requeue_if_all_reconciled(now)
        self._changes.dirty = True
        if had_replicas:
            self._joining.join_all(now)  # not only with the next tick: users wait for them

    def _hand_over(self, machine: Machine) -> None:
        """Forget a machine that belongs to another shard now.

        It was told to be empty before, so nothing of ours can be on it, and nothing is started
        elsewhere for that.
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
        """Heartbeats are refused now: that machines are not heard says nothing of them."""
        self._health.listening_since = now

    def handle_heartbeat(
        self, now: Seconds, heartbeat: Heartbeat, may_launch: bool
    ) -> list[Command]:
        """Handle a worker's heartbeat.

        Args:
            now: The time.
            heartbeat: The heartbeat; an old copy or one of another shard's machine is ignored.
            may_launch: Whether the records are known to be current, so that starts may go out.

        Returns:
            The commands for its machine.
        """
        machine = self._sender(now, heartbeat)
        if machine is None:
            return []
        is_new_incarnation = self._health.take_heartbeat(now, machine, heartbeat)
        if is_new_incarnation:
            self.images.clear(machine)
        # A heartbeat from before our token was seen may miss starts of the old owner that are
        # still under way; only one that carries our token settles what is not there.
        is_current = heartbeat.token == self.token_for(machine.id)
        if is_current:
            self._reconciler.note_confirmed(now, machine)
        had_tasks = bool(machine.task_attempts)
        commands = self._reconciler.reconcile_tasks(
            now, machine, heartbeat, is_current, is_new_incarnation
        )
        if is_current:
            self._reconciler.requeue_if_all_reconciled(now)
        self._gangs.check_on(machine.id)
        commands += self._stops.stop_commands(now, machine)
        commands += self._starts(now, machine, may_launch and is_current)
        if machine.stored:
            commands = self._forgets(now, machine, bool(commands)) + commands
        self._note_busy(now, machine, had_tasks)
        return commands

    def _sender(self, now: Seconds, heartbeat: Heartbeat) -> Machine | None:
        """The machine of a heartbeat that is to be handled."""
        record = self.cache.machines.get(heartbeat.machine)
        if record is None or record.shard != self.shard:
            # Another shard's. Or nothing was ever launched on a machine without a record, or it is
            # gone: a late copy of a heartbeat would otherwise bring it back with its tasks.
            return None
        machine = self._machines.get_or_add(heartbeat.machine, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= machine.newest_heartbeat:
            return None
        return machine

    def _starts(self, now: Seconds, machine: Machine, may_launch: bool) -> list[Command]:
        is_usable = self._health.note_usable(now, machine)
        if is_usable and may_launch:
            return self._launches.launch(now, machine)
        if may_launch and self._health.is_only_drained(now, machine):
            # A gang that is about to start gets its slots before the machine goes.
            return self._launches.launch_gangs(now, machine)
        return []

    def _forgets(self, now: Seconds, machine: Machine, has_commands: bool) -> list[Command]:
        is_drained = self.cache.transfers.draining_transfer(machine.id) is not None
        return self._exits.forget_stored(now, machine, is_drained or has_commands)

    def _note_busy(self, now: Seconds, machine: Machine, had_tasks: bool) -> None:
        """Note since when a machine is idle."""
        # Replicas alone keep a machine, but its time without other work counts.
        is_busy = any(
            task_attempt.stage != EXITED
            and not (task_attempt.spec is not None and task_attempt.spec.is_service)
            for task_attempt in machine.task_attempts.values()
        )
        # One that lost its tasks only now, as with its lease in an outage, is not idle yet.
        has_lost_all = had_tasks and not machine.task_attempts
        if is_busy or has_lost_all or self._gangs.slots_on(machine.id):
            machine.idle_since = now

    # Time

    def tick(self, now: Seconds, wall_time: Seconds = 0.0, followed: bool = True) -> None:
        """Time has passed.

        Args:
            now: The time by this process's clock.
            wall_time: The time by the clock under which jobs are submitted.
            followed: Whether the records are being followed, so that the leader may be.
        """
        if now - self._ticked_at > STALL_S:
            # This process stood still, and the heartbeats that came meanwhile are not read yet.
            # Without this, all machines with replicas were deleted as silent when it went on.
            self._health.listening_since = now
        self._ticked_at = now
        self._tasks.resume_paused(now)
        if now - self._slow_ticked_at >= SLOW_TICK_S:
            self._slow_ticked_at = now
            self._slow_tick(now, wall_time, followed)
        self._joining.join_all(now)

    def _slow_tick(self, now: Seconds, wall_time: Seconds, followed: bool) -> None:
        self._speed.update(self.machines.values())
        self._free_capacity.update(now, wall_time)
        for machine in self.machines.values():
            if not self._health.note_usable(now, machine) and machine.slots:
                self._tasks.requeue_slots(machine)
        self._gangs.check_all()
        for machine in self._replicas.drain_dear(now, bool(self.queues.unqueued)):
            self._health.note_usable(now, machine)
        if followed:
            # In an outage nobody could give it to another shard, and here it may still start.
            self._tasks.release_long_waits(now)

    # What others are told

    def status(self, now: Seconds, base: int = 0) -> ShardStatus:
        """What the leader needs to know of this shard, if it has the status numbered `base`."""
        return self._reporter.status(now, base)

    def running_counts(self) -> Iterator[tuple[JobId, int]]:
        """The jobs with running tasks on machines here, and how many, for display."""
        return self._reporter.running_counts()
