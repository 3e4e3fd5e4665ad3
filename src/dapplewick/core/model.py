"""The leader's picture of the parts' rooms, from their statuses and what they have not seen."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.protocol.wire import JobSpec
from dapplewick.types import MachineId, Seconds, Size, TypeName, Zone


class View:
    """One machine as the leader plans with it."""

    __slots__ = (
        "capacity",
        "demand",
        "ends",
        "free",
        "id",
        "images",
        "kept",
        "queued",
        "spot",
        "type",
        "zone",
    )

    def __init__(
        self,
        machine: MachineId,
        type_: TypeName,
        zone: Zone,
        spot: bool,
        capacity: Size,
        free: Size,
        ends: list[tuple[Seconds, Size, int]],
        queued: int,
        demand: AcceleratorDemand | None = None,
        images: Iterable[str] = (),
    ) -> None:
        self.id = machine
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.capacity = capacity
        self.free = free
        self.ends = ends
        self.queued = queued
        self.demand = demand
        self.images = frozenset(images)
        self.kept: GangDemand | None = None  # set while its part's idle slots are kept for gangs

    def warm(self, spec: JobSpec) -> bool:
        """Whether the image of this work is there, or being fetched."""
        return spec.image in self.images

    def room(self, spec: JobSpec) -> Size:
        """The free room that this work may use."""
        if spec.gpus > 0 or self.demand is None:
            return self.free
        free = self.free
        if self.kept is not None and self.kept.applies(spec):
            free = self.kept.rest(free)
        return free.minus(self.demand.reserve(self.capacity, self.free))

    def times(self, spec: JobSpec) -> int:
        return spec.size.times_in(self.room(spec))

    def allows(self, spec: JobSpec) -> bool:
        return (
            (spec.types is None or self.type in spec.types)
            and (spec.spot or not self.spot)
            and (spec.zone is None or spec.zone == self.zone)
        )

    def room_in(self, spec: JobSpec) -> tuple[Seconds, Seconds] | None:
        """When the singles here will have made room: by themselves, and with those below a
        rank stopped. None if they never do."""
        size, rank = spec.size, spec.rank
        room = forced = self.room(spec)
        if size.fits(room):
            return 0.0, 0.0
        natural = stopped = -1.0
        for left, taken, other in self.ends:
            room = room.plus(taken)
            if other < rank:
                forced = forced.plus(taken)
            if natural < 0.0 and size.fits(room):
                natural = left
        if natural < 0.0:
            return None
        stopped = 0.0 if size.fits(forced) else natural
        return natural, stopped

    def take(self, size: Size) -> None:
        self.free = self.free.minus(size)


def spare_key(view: View, spec: JobSpec) -> tuple[float, ...]:
    """Prefers rooms without accelerators that are not needed, then those with the image, then
    the cheap ones, then the
    tightest."""
    return (
        view.capacity.gpus if spec.gpus == 0 else 0.0,
        0.0 if view.warm(spec) else 1.0,
        0.0 if view.spot else 1.0,
        view.free.cpus,
        view.free.ram,
    )


def fit_all(views: Iterable[View], spec: JobSpec, count: int) -> list[View] | None:
    """Machines for `count` tasks in idle room, or None; takes nothing yet."""
    able = sorted(
        (v for v in views if v.allows(spec) and v.times(spec) > 0),
        key=lambda v: spare_key(v, spec),
    )
    chosen: list[View] = []
    for view in able:
        chosen.extend([view] * min(count - len(chosen), view.times(spec)))
        if len(chosen) == count:
            return chosen
    return None


def fit_held(
    views: Iterable[View], spec: JobSpec, count: int, patience: Seconds, limit: Seconds
) -> tuple[list[View], bool] | None:
    """Slots to hold for `count` tasks until they are idle, and whether to stop work of lower
    priority for them because waiting would take longer than `patience`. Slots that would be
    busy for longer than `limit` are left alone."""
    options: list[tuple[Seconds, tuple[float, ...], int, View]] = []
    natural_of: dict[MachineId, Seconds] = {}
    for n, view in enumerate(views):
        if not view.allows(spec):
            continue
        times = view.room_in(spec)
        if times is None:
            continue
        natural, forced = times
        natural_of[view.id] = natural
        wait = natural if natural <= patience else max(forced, patience)
        if wait > limit:
            continue
        options.append((wait + view.queued, spare_key(view, spec), n, view))
    options.sort(key=lambda o: o[:3])
    chosen: list[View] = []
    preempt = False
    for _, _, _, view in options:
        saved = view.free
        while len(chosen) < count:
            times = view.room_in(spec)
            if times is None or min(times) > limit:
                break
            if times[0] > patience and times[1] < times[0]:
                preempt = True
            view.take(spec.size)
            chosen.append(view)
        view.free = saved
        if len(chosen) == count:
            return chosen, preempt
    return None


def view_of(
    machine: MachineId,
    type_: str,
    zone: str,
    spot: bool,
    capacity: Size,
    status: dict[str, Any],
    demand: AcceleratorDemand,
) -> View:
    ends = [
        (float(left), Size(cpus, gpus, ram), int(rank))
        for left, cpus, gpus, ram, rank in status["ends"]
    ]
    return View(
        machine,
        TypeName(type_),
        Zone(zone),
        spot,
        capacity,
        Size(*status["free"]),
        ends,
        int(status["queued"]),
        demand,
        status["images"],
    )


def take_times(view: View, spec: JobSpec, count: int) -> None:
    """Take the room of `count` tasks."""
    size = spec.size
    view.take(Size(size.cpus * count, size.gpus * count, size.ram * count))


def room_for(views: Iterable[View], spec: JobSpec, zone: str | None = None) -> int:
    """For how many tasks there is idle room, in one zone or in all."""
    return sum(v.times(spec) for v in views if v.allows(spec) and (zone is None or v.zone == zone))


def take_most(views: Iterable[View], spec: JobSpec, most: int, warm: bool = False) -> int:
    """Take idle room for up to `most` tasks, perhaps only where their image is; gives for how
    many there was some."""
    taken = 0
    for view in sorted(
        (v for v in views if v.allows(spec) and (v.warm(spec) or not warm)),
        key=lambda v: spare_key(v, spec),
    ):
        count = min(most - taken, view.times(spec))
        if count > 0:
            take_times(view, spec, count)
            taken += count
    return taken


def keep_for_gangs(views: list[View], gangs: GangDemand, share: float) -> None:
    """Mark a part's rooms if it has no more idle slots than are to be kept for gangs."""
    idle = sum(gangs.size.times_in(v.free) for v in views)
    kept = gangs if idle <= math.ceil(gangs.slots * share) else None
    for view in views:
        view.kept = kept
