"""Which array tasks pass a gang's reservation: the test of the design's fourth point.

A slot that is reserved for a gang runs an array task first if that is estimated to end within the
gang's remaining wait plus a threshold T. The paper sets T to 0 (`docs/design.md`).
"""

from __future__ import annotations

from dapplewick.core.estimates import UNBOUNDED_RUN_S, Estimates
from dapplewick.core.shard.gang_reservations import GangReservations
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.state import EXITED, GangReservation, Machine, TaskAttempt
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds

OVERRUN = 0.2  # a task that ran on beyond its estimate is expected to go on for this share


class Backfill:
    """Compares estimated run times with the remaining waits of gangs."""

    def __init__(
        self,
        estimates: Estimates,
        machines: MachineTable,
        reservations: GangReservations,
        threshold_s: Seconds,
    ) -> None:
        self._estimates = estimates
        self._machines = machines
        self._reservations = reservations
        self._threshold_s = threshold_s

    def may_backfill(self, now: Seconds, spec: JobSpec, machine: Machine) -> bool:
        """Whether a task may start before every gang that has slots reserved on this machine."""
        if spec.is_service:
            return False  # it does not end before any gang's start
        reservations = {
            slot.job_id: slot.reservation for slot in self._reservations.slots_on(machine.id)
        }
        # Where array tasks are preempted for a gang, its wait ends with the last of them: one
        # that passed by its estimate was stopped with the next heartbeat, over and over.
        if any(reservation.ready or reservation.preempt for reservation in reservations.values()):
            return False
        estimate_s = self._estimates.run_time(spec)
        return all(
            estimate_s <= self.remaining_wait(now, reservation) + self._threshold_s
            for reservation in reservations.values()
        )

    def remaining_wait(self, now: Seconds, reservation: GangReservation) -> Seconds:
        """Time until the latest estimated end among the gang's reserved slots, at least zero.

        It is counted once for each time at which it is asked for.
        """
        if reservation.wait_at != now:
            latest_s = 0.0
            for machine_id in reservation.indices_on:
                machine = self._machines.by_id.get(machine_id)
                if machine is not None:
                    latest_s = max(latest_s, self._idle_in(now, machine))
            reservation.wait_at, reservation.wait_s = now, latest_s
        return reservation.wait_s

    def _idle_in(self, now: Seconds, machine: Machine) -> Seconds:
        """Estimated time until all that is reserved on a machine is idle."""
        reserved = self._reservations.reserved_resources(machine.id)
        room = machine.free()
        if reserved.fits_in(room):
            return 0.0
        ends = sorted(
            (self._left(now, task_attempt), task_attempt.resources)
            for task_attempt in machine.task_attempts.values()
            if task_attempt.stage != EXITED
        )
        for left_s, resources in ends:
            room = room.plus(resources)
            if reserved.fits_in(room):
                return left_s
        return ends[-1][0] if ends else 0.0

    def _left(self, now: Seconds, task_attempt: TaskAttempt) -> Seconds:
        """How much longer a task is estimated to run."""
        if task_attempt.spec is None or task_attempt.stopped:
            return 0.0
        estimate_s = self._estimates.run_time(task_attempt.spec)
        if task_attempt.running_at is None or estimate_s >= UNBOUNDED_RUN_S:
            return estimate_s
        return max(0.0, estimate_s - (now - task_attempt.running_at))

    def expected_left(self, now: Seconds, task_attempt: TaskAttempt) -> Seconds:
        """How much longer a task is expected to run, where slots are chosen.

        What runs for longer than estimated goes on for a while more often than it ends now.
        """
        left_s = self._left(now, task_attempt)
        if task_attempt.running_at is None or task_attempt.stopped:
            return left_s
        return max(left_s, OVERRUN * (now - task_attempt.running_at))
