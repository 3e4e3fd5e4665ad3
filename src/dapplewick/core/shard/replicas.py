"""Where replicas of services go, and when they leave their machine.

A replica is a single of its priority that is not expected to end. It waits in no queue, since the
tasks of a slot may take long.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator

from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.gang_reservations import GangReservations
from dapplewick.core.shard.machines import MachineTable
from dapplewick.core.shard.preemption import leaves, may_be_stopped
from dapplewick.core.shard.state import EXITED, Machine
from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, Resources, Seconds

log = logging.getLogger("dapplewick.part")

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
LEAST_FETCH_RATE = 0.01


class ReplicaPlacement:
    """Chooses places for replicas among a part's machines."""

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
        self, now: Seconds, spec: JobSpec, job_id: JobId, able: Iterable[Machine]
    ) -> Machine | None:
        """The machine on which a replica will run soonest, with room or with work of lower
        priority to stop."""
        best: tuple[Seconds, Machine] | None = None
        for machine in able:
            room = machine.free()
            held = self._reservations.reserved_resources(machine.id)
            if held is not NO_RESOURCES:
                room = room.minus(held)
            forced = not spec.resources.fits_in(room)
            if forced and not spec.resources.fits_in(
                self._room_with_stops(machine, room, spec.priority)
            ):
                continue
            # What is stopped goes with one report, and the start comes with the next: that is
            # sooner than an image.
            cost = self._cost(now, spec, job_id, machine) + STOP_COST_S * forced
            if best is None or cost < best[0]:
                best = (cost, machine)
        return best[1] if best is not None else None

    @staticmethod
    def _room_with_stops(machine: Machine, room: Resources, priority: int) -> Resources:
        for task, task_attempt in machine.task_attempts.items():
            if may_be_stopped(task_attempt, priority) or leaves(task, task_attempt, set()):
                room = room.plus(task_attempt.resources)
        return room

    def _cost(self, now: Seconds, spec: JobSpec, job_id: JobId, machine: Machine) -> Seconds:
        """How long until it would run here, and what else speaks against it, in seconds."""
        same = sum(task.job == job_id for task in machine.task_attempts)
        same += sum(s.current is not None and s.current.job == job_id for s in machine.slots)
        cost = SAME_SERVICE_COST_S * same + SPOT_COST_S * machine.spot
        cost += ACCELERATOR_COST_S * (machine.capacity.gpus > 0)
        if spec.image not in machine.images:
            kind = self._cache.types.get(machine.type)
            rate = kind.fetch_rate if kind is not None else 0.1
            cost += spec.image_gb / max(LEAST_FETCH_RATE, rate)
            cost += machine.fetches()
        # Who reported long ago reports again soon; the start goes out in the answer.
        cost += max(0.0, self._heartbeat_interval_s - (now - machine.last_heartbeat_at))
        return cost + CPU_COST_S * machine.free().cpus

    def must_leave(self, now: Seconds, machine: Machine, job_id: JobId, spec: JobSpec) -> bool:
        """Whether a replica is to leave its machine now: one that goes, or is no good place, as
        soon as another with its image has room, or at the last moment."""
        if machine.spot_notice_s is not None and machine.spot_notice_s < EVICTION_LEAD_S:
            return True
        drained = machine.drain or self._cache.transfers.drains(machine.id) is not None
        if machine.spot_notice_s is None and not machine.slow and not drained:
            return False
        able = (m for m in self._others(machine) if self._constraints.allow(spec, m))
        place = self.best_machine(now, spec, job_id, able)
        if place is None or not spec.resources.fits_in(place.free()):
            return False
        # Without its image there it is away for longer: only for a notice, or in the end.
        waited = drained and now - machine.idle_since > 2.0 * DRAIN_S
        return spec.image in place.images or machine.spot_notice_s is not None or waited

    def _others(self, machine: Machine) -> list[Machine]:
        return [m for m in self._machines.by_id.values() if m is not machine and m.was_usable]

    def drain_dear(self, now: Seconds, work_waits: bool) -> Iterator[Machine]:
        """Mark dear machines on which nothing but replicas has been for long, if what is there
        has room on others: they move, and it is returned. Gives those that are newly marked.
        Work that could use a machine brings it back once it is empty."""
        for machine in self._machines.by_id.values():
            task_attempts = [
                task_attempt
                for task_attempt in machine.task_attempts.values()
                if task_attempt.stage != EXITED
            ]
            if machine.drain:
                machine.drain = bool(task_attempts) or not work_waits
                continue
            if not task_attempts or now - machine.idle_since < DRAIN_S or not machine.was_usable:
                continue
            specs = [v.spec for v in task_attempts if v.spec is not None and v.spec.is_service]
            if len(specs) < len(task_attempts) or len(machine.slots) > len(task_attempts):
                continue
            if self._is_dear(machine, specs) and self._have_room(self._others(machine), specs):
                log.info(
                    "event=machine_drained machine=%s replicas=%d", machine.id, len(task_attempts)
                )
                machine.drain = True
                yield machine

    def _is_dear(self, machine: Machine, specs: list[JobSpec]) -> bool:
        """Whether a machine costs much more than the cheapest on which all of this fits."""
        types = self._cache.types
        kind = types.get(machine.type)
        prices = [t.price for t in types.values() if all(_fits(spec, t) for spec in specs)]
        return kind is not None and bool(prices) and kind.price > DRAIN_PRICE * min(prices)

    def _have_room(self, machines: list[Machine], specs: list[JobSpec]) -> bool:
        return all(
            any(self._constraints.allow(s, m) and s.resources.fits_in(m.free()) for m in machines)
            for s in specs
        )


def _fits(spec: JobSpec, kind: MachineType) -> bool:
    return spec.resources.fits_in(kind.resources) and (
        spec.types is None or kind.name in spec.types
    )
