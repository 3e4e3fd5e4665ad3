"""Backfill: which array tasks may start in slots reserved for gangs.

A slot that is reserved for a gang may first run an array task whose estimated run time is at most
the gang's remaining wait plus a threshold T. This is the fourth point of the design; the paper
sets T to 0 (`docs/design.md`).
"""

from __future__ import annotations

from dapplewick.core.estimates import UNBOUNDED_RUN_S, Estimates
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.state import EXITED, GangReservation, Machine, TaskAttempt
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds

# Minimum expected remaining run time of a task, as a fraction of its run time so far.
OVERRUN_FRACTION = 0.2


class BackfillPolicy:
    """Decides which array tasks may be backfilled, from run-time estimates and gangs' waits."""

    def __init__(
        self,
        estimates: Estimates,
        machines: MachineTable,
        reservations: GangReservationTable,
        threshold_s: Seconds,
    ) -> None:
        self._estimates = estimates
        self._machines = machines
        self._reservations = reservations
        self._threshold_s = threshold_s

    def may_backfill(self, now: Seconds, spec: JobSpec, machine: Machine) -> bool:
        """Whether a task may start ahead of all gangs with reserved slots on this machine."""
        if spec.is_service:
            return False  # a replica does not end by itself
        reservations = [gang.reservation for gang in self._reservations.waiting_on(machine.id)]
        # A gang that preempts starts once its preempted tasks have stopped. A task backfilled
        # ahead of it would be preempted with the next heartbeat and started again, repeatedly.
        if any(reservation.ready or reservation.preempt for reservation in reservations):
            return False
        estimate_s = self._estimates.run_time(spec)
        return all(
            estimate_s <= self.remaining_wait(now, reservation) + self._threshold_s
            for reservation in reservations
        )

    def remaining_wait(self, now: Seconds, reservation: GangReservation) -> Seconds:
        """Time until the last of the gang's reserved slots is estimated to be idle, at least zero.

        The result is cached in the reservation until `now` changes.
        """
        if reservation.wait_computed_at != now:
            latest_s = 0.0
            for machine_id in reservation.indices_on:
                machine = self._machines.by_id.get(machine_id)
                if machine is not None:
                    latest_s = max(latest_s, self._time_until_fits(now, machine))
            reservation.wait_computed_at, reservation.remaining_wait_s = now, latest_s
        return reservation.remaining_wait_s

    def _time_until_fits(self, now: Seconds, machine: Machine) -> Seconds:
        """Estimated time until all reserved slots of a machine fit in its free capacity."""
        reserved = self._reservations.reserved_resources(machine.id)
        available = machine.free()
        if reserved.fits_in(available):
            return 0.0
        ends = sorted(
            (self._estimated_remaining(now, task_attempt), task_attempt.resources)
            for task_attempt in machine.task_attempts.values()
            if task_attempt.stage != EXITED
        )
        for remaining_s, resources in ends:
            available = available.plus(resources)
            if reserved.fits_in(available):
                return remaining_s
        return ends[-1][0] if ends else 0.0

    def _estimated_remaining(self, now: Seconds, task_attempt: TaskAttempt) -> Seconds:
        """The estimated remaining run time of a task, at least zero."""
        if task_attempt.spec is None or task_attempt.stop_sent:
            return 0.0
        estimate_s = self._estimates.run_time(task_attempt.spec)
        if task_attempt.running_at is None or estimate_s >= UNBOUNDED_RUN_S:
            return estimate_s
        return max(0.0, estimate_s - (now - task_attempt.running_at))

    def expected_remaining(self, now: Seconds, task_attempt: TaskAttempt) -> Seconds:
        """The expected remaining run time of a task, as used to choose slots.

        A task that exceeds its estimate usually continues for a while, so the result is at least
        `OVERRUN_FRACTION` of its run time so far.
        """
        remaining_s = self._estimated_remaining(now, task_attempt)
        if task_attempt.running_at is None or task_attempt.stop_sent:
            return remaining_s
        return max(remaining_s, OVERRUN_FRACTION * (now - task_attempt.running_at))
