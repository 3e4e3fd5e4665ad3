"""Where replicas of services go, and when they leave their machine.

A replica is an array task of its priority that is not expected to end. It waits in no queue, since
the tasks of a slot may take long.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator

from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.gang_reservations import GangReservations
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.preemption import is_stopping, may_be_preempted
from dapplewick.core.shard.state import EXITED, Machine, TaskAttempt
from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, Resources, Seconds

log = logging.getLogger(__name__)

EVICTION_LEAD_S = (
    6.0  # a replica is stopped so long before its machine is taken, wherever it can go
)
STOP_COST_S = 4.0  # until what is stopped for a replica is gone, and what it loses
# What a better place is worth, in seconds until the replica runs: away from the others of its
# service, from machines that may be taken, and from accelerators.
SAME_SERVICE_COST_S, SPOT_COST_S, ACCELERATOR_COST_S = 30.0, 20.0, 5.0
CPU_COST_S = 0.01  # and for each free CPU: small rooms are filled first
DRAIN_S = 75.0  # after this time with nothing but replicas a dear machine is emptied
DRAIN_PRICE = 2.0  # dear: more than this times the cheapest that they fit
LEAST_FETCH_RATE = 0.01  # GB/s of images
UNKNOWN_FETCH_RATE = 0.1  # of a machine of an unknown type


class ReplicaPlacement:
    """Chooses places for replicas among a shard's machines."""

    def __init__(
        self,
        cache: WatchCache,
        machines: MachineTable,
        constraints: PlacementConstraints,
        reservations: GangReservations,
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
        """The machine on which a replica will run soonest.

        It has room, or work of lower priority to preempt. Places away from the others of the
        service and from machines that may be taken are worth a wait.

        Args:
            now: The time.
            spec: What the service asks for.
            job_id: The service.
            eligible: The machines to choose from.

        Returns:
            The machine; None if there is room on none.
        """
        best: tuple[Seconds, Machine] | None = None
        for machine in eligible:
            room = machine.free()
            reserved = self._reservations.reserved_resources(machine.id)
            if reserved is not NO_RESOURCES:
                room = room.minus(reserved)
            must_preempt = not spec.resources.fits_in(room)
            if must_preempt and not spec.resources.fits_in(
                self._room_with_preemption(machine, room, spec.priority)
            ):
                continue
            # What is stopped goes with one heartbeat, and the start comes with the next: that is
            # sooner than an image.
            cost_s = self._cost(now, spec, job_id, machine) + STOP_COST_S * must_preempt
            if best is None or cost_s < best[0]:
                best = (cost_s, machine)
        return best[1] if best is not None else None

    @staticmethod
    def _room_with_preemption(machine: Machine, room: Resources, priority: int) -> Resources:
        for task, task_attempt in machine.task_attempts.items():
            if may_be_preempted(task_attempt, priority) or is_stopping(task, task_attempt, set()):
                room = room.plus(task_attempt.resources)
        return room

    def _cost(self, now: Seconds, spec: JobSpec, job_id: JobId, machine: Machine) -> Seconds:
        """How long until it would run here, and what else speaks against it, in seconds."""
        same = sum(task.job == job_id for task in machine.task_attempts)
        same += sum(s.current is not None and s.current.job == job_id for s in machine.slots)
        cost_s = SAME_SERVICE_COST_S * same + SPOT_COST_S * machine.spot
        cost_s += ACCELERATOR_COST_S * (machine.capacity.gpus > 0)
        if spec.image not in machine.images:
            machine_type = self._cache.types.get(machine.type)
            rate = machine_type.fetch_gb_per_s if machine_type is not None else UNKNOWN_FETCH_RATE
            cost_s += spec.image_gb / max(LEAST_FETCH_RATE, rate)
            cost_s += machine.fetches()
        # What was heard long ago is heard again soon; the start goes out in the answer.
        cost_s += max(0.0, self._heartbeat_interval_s - (now - machine.last_heartbeat_at))
        return cost_s + CPU_COST_S * machine.free().cpus

    def must_leave(self, now: Seconds, machine: Machine, job_id: JobId, spec: JobSpec) -> bool:
        """Whether a replica is to leave its machine now.

        It leaves one that goes, or is no good place, as soon as another with its image has room,
        or at the last moment.
        """
        if machine.spot_notice_s is not None and machine.spot_notice_s < EVICTION_LEAD_S:
            return True
        is_drained = (
            machine.drain or self._cache.transfers.draining_transfer(machine.id) is not None
        )
        if machine.spot_notice_s is None and not machine.slow and not is_drained:
            return False
        eligible = (m for m in self._others(machine) if self._constraints.allow(spec, m))
        place = self.best_machine(now, spec, job_id, eligible)
        if place is None or not spec.resources.fits_in(place.free()):
            return False
        # Without its image there it is away for longer: only for a notice, or in the end.
        waited = is_drained and now - machine.idle_since > 2.0 * DRAIN_S
        return spec.image in place.images or machine.spot_notice_s is not None or waited

    def _others(self, machine: Machine) -> list[Machine]:
        return [m for m in self._machines.by_id.values() if m is not machine and m.was_usable]

    def drain_dear(self, now: Seconds, work_waits: bool) -> Iterator[Machine]:
        """Mark dear machines on which nothing but replicas has been for long.

        What is there must have room on others: they move, and the machine is returned to the
        cloud. Work that could use a machine unmarks it once it is empty.

        Args:
            now: The time.
            work_waits: Whether any array task has found no queue.

        Yields:
            The machines that are newly marked.
        """
        for machine in self._machines.by_id.values():
            task_attempts = [
                task_attempt
                for task_attempt in machine.task_attempts.values()
                if task_attempt.stage != EXITED
            ]
            if machine.drain:
                machine.drain = bool(task_attempts) or not work_waits
            elif self._can_be_emptied(now, machine, task_attempts):
                log.info(
                    "event=machine_drained machine=%s replicas=%d", machine.id, len(task_attempts)
                )
                machine.drain = True
                yield machine

    def _can_be_emptied(
        self, now: Seconds, machine: Machine, task_attempts: list[TaskAttempt]
    ) -> bool:
        if not task_attempts or now - machine.idle_since < DRAIN_S or not machine.was_usable:
            return False
        specs = [a.spec for a in task_attempts if a.spec is not None and a.spec.is_service]
        if len(specs) < len(task_attempts) or len(machine.slots) > len(task_attempts):
            return False
        return self._is_dear(machine, specs) and self._have_room(self._others(machine), specs)

    def _is_dear(self, machine: Machine, specs: list[JobSpec]) -> bool:
        """Whether a machine costs much more than the cheapest on which all of this fits."""
        types = self._cache.types
        machine_type = types.get(machine.type)
        prices = [t.hourly_price for t in types.values() if all(_fits(spec, t) for spec in specs)]
        if machine_type is None or not prices:
            return False
        return machine_type.hourly_price > DRAIN_PRICE * min(prices)

    def _have_room(self, machines: list[Machine], specs: list[JobSpec]) -> bool:
        return all(
            any(self._constraints.allow(s, m) and s.resources.fits_in(m.free()) for m in machines)
            for s in specs
        )


def _fits(spec: JobSpec, machine_type: MachineType) -> bool:
    return spec.resources.fits_in(machine_type.resources) and (
        spec.types is None or machine_type.name in spec.types
    )
