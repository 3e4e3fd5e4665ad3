"""Placement of service replicas, and when they move to another machine.

A replica is scheduled as an array task with its priority, but is not expected to end. It does not
wait in a queue, because the tasks ahead of it may run long.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator

from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.preemption import is_stopping, may_be_preempted
from dapplewick.core.shard.state import EXITED, Machine, TaskAttempt
from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, Resources, Seconds

log = logging.getLogger(__name__)

# A replica is stopped this long before its spot machine is reclaimed, even if no other machine has
# capacity for it.
EVICTION_LEAD_S = 6.0
PREEMPTION_COST_S = 4.0  # time until preempted tasks have stopped, plus their lost work
# Placement penalties: the additional start-up delay that is accepted to avoid, in this order, each
# other replica of the service on the machine, a spot machine, and a machine with accelerators.
SAME_SERVICE_COST_S, SPOT_COST_S, ACCELERATOR_COST_S = 30.0, 20.0, 5.0
FREE_CPU_COST_S = 0.01  # penalty for each free CPU, so that fuller machines are filled first
DRAIN_DELAY_S = 75.0  # an expensive machine with only replicas for this long is drained
DRAIN_PRICE_RATIO = 2.0  # expensive: above this multiple of the cheapest machine type that fits
MIN_FETCH_RATE_GB_PER_S = 0.01  # lower bound of the image fetch rate
DEFAULT_FETCH_RATE_GB_PER_S = 0.1  # image fetch rate of unknown machine types


class ReplicaPlacement:
    """Chooses machines for replicas and drains expensive machines."""

    def __init__(
        self,
        cache: WatchCache,
        machines: MachineTable,
        constraints: PlacementConstraints,
        reservations: GangReservationTable,
        heartbeat_interval_s: Seconds,
    ) -> None:
        self._cache = cache
        self._machines = machines
        self._constraints = constraints
        self._reservations = reservations
        self._heartbeat_interval_s = heartbeat_interval_s

    def best_machine(
        self, now: Seconds, spec: JobSpec, job_id: JobId, eligible: Iterable[Machine]
    ) -> Machine | None:
        """The machine with the lowest placement cost for a replica.

        The machine has free capacity for it or tasks of lower priority to preempt. The cost is the
        expected start-up delay plus penalties for other replicas of the service on the machine,
        for spot machines and for accelerators.

        Args:
            now: The monotonic clock, in seconds.
            spec: The service's specification.
            job_id: The service's job.
            eligible: The machines to choose from.

        Returns:
            The machine; None if the replica fits on none.
        """
        best: tuple[Seconds, Machine] | None = None
        for machine in eligible:
            available = machine.free()
            reserved = self._reservations.reserved_resources(machine.id)
            if reserved is not NO_RESOURCES:
                available = available.minus(reserved)
            must_preempt = not spec.resources.fits_in(available)
            if must_preempt and not spec.resources.fits_in(
                self._available_with_preemption(machine, available, spec.priority)
            ):
                continue
            # The response to one heartbeat stops the preempted tasks, and the response to the next
            # starts the replica. This is faster than fetching an image.
            cost_s = (
                self._placement_cost(now, spec, job_id, machine) + PREEMPTION_COST_S * must_preempt
            )
            if best is None or cost_s < best[0]:
                best = (cost_s, machine)
        return best[1] if best is not None else None

    @staticmethod
    def _available_with_preemption(
        machine: Machine, available: Resources, priority: int
    ) -> Resources:
        for task, task_attempt in machine.task_attempts.items():
            if may_be_preempted(task_attempt, priority) or is_stopping(task, task_attempt, set()):
                available = available.plus(task_attempt.resources)
        return available

    def _placement_cost(
        self, now: Seconds, spec: JobSpec, job_id: JobId, machine: Machine
    ) -> Seconds:
        """The expected start-up delay on this machine plus placement penalties, in seconds."""
        cost_s = SAME_SERVICE_COST_S * machine.task_counts()[job_id] + SPOT_COST_S * machine.spot
        cost_s += ACCELERATOR_COST_S * (machine.capacity.gpus > 0)
        if spec.image not in machine.images:
            machine_type = self._cache.types.get(machine.type)
            rate = (
                machine_type.fetch_gb_per_s
                if machine_type is not None
                else DEFAULT_FETCH_RATE_GB_PER_S
            )
            cost_s += spec.image_gb / max(MIN_FETCH_RATE_GB_PER_S, rate)
            cost_s += machine.pending_image_fetches()
        # The start is sent in the response to the machine's next heartbeat, so the time until then
        # is part of the delay.
        cost_s += max(0.0, self._heartbeat_interval_s - (now - machine.last_heartbeat_at))
        return cost_s + FREE_CPU_COST_S * machine.free().cpus

    def must_leave(self, now: Seconds, machine: Machine, job_id: JobId, spec: JobSpec) -> bool:
        """Whether a replica must leave its machine now.

        It leaves a machine that is slow, draining or about to be reclaimed as soon as another
        machine with its image has free capacity. Shortly before a spot machine is reclaimed, it
        leaves in any case.
        """
        if machine.spot_notice_s is not None and machine.spot_notice_s < EVICTION_LEAD_S:
            return True
        is_draining = (
            machine.draining or self._cache.transfers.draining_transfer(machine.id) is not None
        )
        if machine.spot_notice_s is None and not machine.slow and not is_draining:
            return False
        eligible = (
            m for m in self._other_usable_machines(machine) if self._constraints.allow(spec, m)
        )
        target = self.best_machine(now, spec, job_id, eligible)
        if target is None or not spec.resources.fits_in(target.free()):
            return False
        # Without the image on the target the replica is down for longer, so it moves only because
        # of a spot notice or when the drain is overdue.
        is_overdue = is_draining and now - machine.idle_since > 2.0 * DRAIN_DELAY_S
        return spec.image in target.images or machine.spot_notice_s is not None or is_overdue

    def _other_usable_machines(self, machine: Machine) -> list[Machine]:
        return [m for m in self._machines.by_id.values() if m is not machine and m.was_usable]

    def drain_expensive(self, now: Seconds, has_unqueued_tasks: bool) -> Iterator[Machine]:
        """Mark expensive machines that have run only replicas for a long time as draining.

        The replicas must fit on other machines. They move there, and the empty machine is returned
        to the cloud, unless unqueued tasks end the drain once it is empty.

        Args:
            now: The monotonic clock, in seconds.
            has_unqueued_tasks: Whether any array task is in no slot or queue.

        Yields:
            The newly marked machines.
        """
        for machine in self._machines.by_id.values():
            task_attempts = [
                task_attempt
                for task_attempt in machine.task_attempts.values()
                if task_attempt.stage != EXITED
            ]
            if machine.draining:
                machine.draining = bool(task_attempts) or not has_unqueued_tasks
            elif self._can_be_emptied(now, machine, task_attempts):
                log.info(
                    "event=machine_drained machine=%s replicas=%d", machine.id, len(task_attempts)
                )
                machine.draining = True
                yield machine

    def _can_be_emptied(
        self, now: Seconds, machine: Machine, task_attempts: list[TaskAttempt]
    ) -> bool:
        if not task_attempts or now - machine.idle_since < DRAIN_DELAY_S or not machine.was_usable:
            return False
        specs = [a.spec for a in task_attempts if a.spec is not None and a.spec.is_service]
        if len(specs) < len(task_attempts) or len(machine.slots) > len(task_attempts):
            return False
        return self._is_expensive(machine, specs) and self._have_capacity(
            self._other_usable_machines(machine), specs
        )

    def _is_expensive(self, machine: Machine, specs: list[JobSpec]) -> bool:
        """Whether a machine costs much more than the cheapest type that fits each replica."""
        types = self._cache.types
        machine_type = types.get(machine.type)
        prices = [t.hourly_price for t in types.values() if all(_fits(spec, t) for spec in specs)]
        if machine_type is None or not prices:
            return False
        return machine_type.hourly_price > DRAIN_PRICE_RATIO * min(prices)

    def _have_capacity(self, machines: list[Machine], specs: list[JobSpec]) -> bool:
        return all(
            any(self._constraints.allow(s, m) and s.resources.fits_in(m.free()) for m in machines)
            for s in specs
        )


def _fits(spec: JobSpec, machine_type: MachineType) -> bool:
    return spec.resources.fits_in(machine_type.resources) and (
        spec.types is None or machine_type.name in spec.types
    )
