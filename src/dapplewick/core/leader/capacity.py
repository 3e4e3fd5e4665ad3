"""The leader's picture of the parts' rooms, from their statuses and what they have not seen."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable
from typing import Any, NamedTuple

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.protocol.job_spec import JobSpec, PlacementKey
from dapplewick.protocol.peers import MachineStatus
from dapplewick.types import (
    NO_RESOURCES,
    MachineId,
    Resources,
    Seconds,
    ShardName,
    TypeName,
    zone_of,
)

ONE_GROUP_TIMES = 4.0  # behind one gang a longer wait is taken than behind several
GANG_PRIORITY = 99  # a gang's task counts as this among ends: nothing stops it for another gang


class End(NamedTuple):
    """When a task on a machine is estimated to end, and what it leaves."""

    at: Seconds
    resources: Resources
    priority: int
    group: str  # tasks with the same one end together: a gang's


class MachineCapacity:
    """One machine as the leader plans with it."""

    __slots__ = (
        "array_tasks",
        "could_be",
        "demand",
        "ends",
        "free",
        "id",
        "images",
        "kept",
        "memo",
        "now",
        "queued",
        "shard",
        "spot",
        "teams",
        "told",
        "total",
        "type",
        "usable",
        "zone",
    )

    def __init__(
        self,
        machine: MachineId,
        type_: TypeName,
        shard: ShardName,
        spot: bool,
        total: Resources,
        free: Resources,
        ends: list[End],
        queued: int,
        demand: AcceleratorDemand | None = None,
        images: Iterable[str] = (),
    ) -> None:
        self.id = machine
        self.type = type_
        self.shard = shard
        self.zone = zone_of(shard)
        self.teams: frozenset[str] | None = None  # whose work it takes; None: everybody's
        self.spot = spot
        self.total = total
        self.free = free
        self.told = free  # the free room as its part told it
        self.ends = ends  # in the order of their times
        self.now = 0.0
        self.queued = queued
        self.demand = demand
        self.array_tasks = sum(end.priority < GANG_PRIORITY for end in ends)  # that run here
        self.could_be = free.cpus + sum(end.resources.cpus for end in ends)
        self.images = frozenset(images)
        self.usable = True
        self.memo: dict[Any, Any] = {}  # slots by shape, until room is taken
        self.kept: GangDemand | None = None  # set while its part's idle slots are kept for gangs

    def begin(self, now: Seconds) -> None:
        """A new pass: what the last one took is forgotten."""
        self.free = self.told
        self.now = now
        self.teams = None
        if self.memo:
            self.memo.clear()

    def warm(self, spec: JobSpec) -> bool:
        """Whether the image of this work is there, or being fetched."""
        return spec.image in self.images

    def room(self, spec: JobSpec) -> Resources:
        """The free room that this work may use."""
        free = self.free
        if spec.gpus > 0 or spec.is_service or self.demand is None:
            return free
        if self.kept is not None and self.kept.applies(spec):
            free = self.kept.rest(free)
        reserve = self.demand.reserve(self.total, self.free)
        return free if reserve is NO_RESOURCES else free.minus(reserve)

    def keeps_accelerators(self, spec: JobSpec) -> bool:
        """Whether the CPUs beside accelerators here are for work that needs these. A gang that
        took them, with such work stopped for it, left most accelerators idle."""
        return spec.gpus == 0 and self.demand is not None and self.demand.scarce()

    def times(self, spec: JobSpec) -> int:
        return spec.resources.count_in(self.room(spec))

    def allows(self, spec: JobSpec) -> bool:
        return (
            (spec.types is None or self.type in spec.types)
            and (spec.spot or not self.spot)
            and (spec.zone is None or spec.zone == self.zone)
            and (self.teams is None or spec.team in self.teams)
        )

    def room_in(self, spec: JobSpec) -> tuple[Seconds, Seconds] | None:
        """When the singles here will have made room: by themselves, and with those below a
        rank stopped. None if they never do."""
        resources, priority = spec.resources, spec.priority
        room = forced = self.room(spec)
        if resources.fits_in(room):
            return 0.0, 0.0
        natural = -1.0
        keep = self.keeps_accelerators(spec)
        for end, taken, other, _ in self.ends:
            if keep and taken.gpus > 0:
                continue
            room = room.plus(taken)
            if other < priority:
                forced = forced.plus(taken)
            if natural < 0.0 and resources.fits_in(room):
                natural = max(0.0, end - self.now)
        if natural < 0.0:
            return None
        stopped = 0.0 if resources.fits_in(forced) else natural
        return natural, stopped

    def take(self, resources: Resources) -> None:
        self.free = self.free.minus(resources)
        if self.memo:
            self.memo.clear()

    def slot_waits(self, spec: JobSpec, placement_key: PlacementKey) -> list[Seconds]:
        """When slots of this shape become idle here, by themselves or, where that helps, with
        work of lower rank stopped."""
        waits: list[Seconds] | None = self.memo.get((placement_key,))
        if waits is None:
            waits = self.memo[(placement_key,)] = []
            if self.could_be >= spec.cpus - 1e-6 and self.allows(spec):
                saved = self.free
                while (times := self.room_in(spec)) is not None:
                    self.free = self.free.minus(spec.resources)
                    waits.append(min(times))
                self.free = saved
        return waits

    def slot_ends(self, spec: JobSpec, placement_key: PlacementKey) -> list[tuple[Seconds, str]]:
        """When each slot of this shape becomes idle here by itself, and with whose end."""
        slots: list[tuple[Seconds, str]] | None = self.memo.get((placement_key, "ends"))
        if slots is None:
            slots = self.memo[(placement_key, "ends")] = []
            if self.could_be >= spec.cpus - 1e-6 and self.allows(spec):
                resources, room = spec.resources, self.room(spec)
                count = resources.count_in(room)
                slots.extend([(0.0, "")] * count)
                room = room.minus(resources.times(count))
                keep = self.keeps_accelerators(spec)
                for end in self.ends:
                    if keep and end.resources.gpus > 0:
                        continue
                    room = room.plus(end.resources)
                    while resources.fits_in(room):
                        room = room.minus(resources)
                        group = end.group or f"{self.id}/{len(slots)}"
                        slots.append((max(0.0, end.at - self.now), group))
        return slots

    def idle_slots(self, spec: JobSpec, placement_key: PlacementKey) -> int:
        count = self.memo.get(placement_key)
        if count is None:
            count = self.memo[placement_key] = self.times(spec) if self.allows(spec) else 0
        return count


def spare_key(capacity: MachineCapacity, spec: JobSpec) -> tuple[float, ...]:
    """Prefers rooms without accelerators that are not needed, then those with the image, then
    the cheap ones, then the
    tightest."""
    return (
        capacity.total.gpus if spec.gpus == 0 else 0.0,
        0.0 if capacity.warm(spec) else 1.0,
        0.0 if capacity.spot else 1.0,
        capacity.free.cpus,
        capacity.free.ram_gb,
    )


def fit_all(
    capacities: Iterable[MachineCapacity], spec: JobSpec, count: int
) -> list[MachineCapacity] | None:
    """Machines for `count` tasks in idle room, or None; takes nothing yet."""
    able = sorted(
        (v for v in capacities if v.allows(spec) and v.times(spec) > 0),
        key=lambda v: spare_key(v, spec),
    )
    chosen: list[MachineCapacity] = []
    for capacity in able:
        chosen.extend([capacity] * min(count - len(chosen), capacity.times(spec)))
        if len(chosen) == count:
            return chosen
    return None


def fit_reserved(
    capacities: Iterable[MachineCapacity],
    spec: JobSpec,
    count: int,
    patience: Seconds,
    limit: Seconds,
) -> tuple[list[MachineCapacity], bool] | None:
    """Slots to hold for `count` tasks until they are idle, and whether to stop work of lower
    priority for them because waiting would take longer than `patience`. Slots that would be
    busy for longer than `limit` are left alone."""
    options: list[tuple[float, Seconds, tuple[float, ...], int, MachineCapacity]] = []
    for n, capacity in enumerate(capacities):
        if not capacity.allows(spec):
            continue
        times = capacity.room_in(spec)
        if times is None:
            continue
        natural, forced = times
        wait = natural if natural <= patience else max(forced, patience)
        if wait > limit:
            continue
        if forced >= natural:
            wait += (
                capacity.queued
            )  # who waits there has to wait longer; nobody who is stopped does
        spare_gpus = capacity.total.gpus if spec.gpus == 0 else 0.0
        options.append((spare_gpus, wait, spare_key(capacity, spec), n, capacity))
    options.sort(key=lambda o: o[:4])
    chosen: list[MachineCapacity] = []
    preempt = False
    for *_, capacity in options:
        saved = capacity.free
        while len(chosen) < count:
            times = capacity.room_in(spec)
            if times is None or min(times) > limit:
                break
            if times[0] > patience and times[1] < times[0]:
                preempt = True
            capacity.take(spec.resources)
            chosen.append(capacity)
        capacity.free = saved
        if len(chosen) == count:
            return chosen, preempt
    return None


def machine_capacity(
    machine: MachineId,
    type_: str,
    shard: ShardName,
    spot: bool,
    total: Resources,
    status: MachineStatus,
    demand: AcceleratorDemand,
    clock: Seconds = 0.0,
) -> MachineCapacity:
    """A machine as a part's status tells it; `clock` is our clock less the part's."""
    ends = [End(end.at + clock, end.resources, end.priority, end.gang) for end in status.ends]
    capacity = MachineCapacity(
        machine,
        TypeName(type_),
        shard,
        spot,
        total,
        status.free,
        ends,
        status.queued,
        demand,
        status.images,
    )
    capacity.usable = status.usable
    return capacity


class EndGroup(NamedTuple):
    """Slots that become idle together."""

    wait: Seconds
    capacities: list[MachineCapacity]


def fit_behind(
    idle: list[MachineCapacity], groups: list[EndGroup], count: int, limit: Seconds
) -> list[MachineCapacity] | None:
    """Slots for a gang to hold behind others. Behind one gang that is large enough nothing
    stands idle, however wrong its estimate is. Else the fewest, largest groups: the more of
    them, the longer the last is waited for by all that ended before it."""
    enough = [g for g in groups if len(g.capacities) >= count and g.wait <= ONE_GROUP_TIMES * limit]
    if enough:
        # The smallest of them: the others stay whole for gangs that need as many slots.
        return min(enough, key=lambda g: (len(g.capacities), g.wait)).capacities[:count]
    chosen: list[MachineCapacity] = []
    for group in sorted(groups, key=lambda g: (-len(g.capacities), g.wait)):
        missing = count - len(chosen)
        if missing <= len(idle):
            break
        if group.wait <= limit:
            chosen.extend(group.capacities[:missing])
    chosen.extend(idle[: count - len(chosen)])
    return chosen if len(chosen) == count else None


class ShardCapacity:
    """One part's rooms within a pass."""

    def __init__(self, shard: ShardName, capacities: list[MachineCapacity]) -> None:
        self.shard = shard
        self.zone = zone_of(shard)
        self.teams: frozenset[str] | None = None  # whose work may come here; None: everybody's
        self.capacities = capacities
        self.open = [v for v in capacities if v.free.cpus > 1e-6]
        self._totals: dict[PlacementKey, int] = {}
        self._waits: dict[PlacementKey, list[Seconds]] = {}
        self._groups: dict[PlacementKey, tuple[list[MachineCapacity], list[EndGroup]]] = {}
        self._lowest: int | None = None
        self._kept: GangDemand | None = None
        self._idle: int | None = None
        self._elsewhere: bool | None = None  # whether some machine is too small for gangs

    def changed(self) -> None:
        """Room was taken here."""
        self._totals.clear()
        self._waits.clear()
        self._groups.clear()
        self._idle = None

    def add(self, capacity: MachineCapacity) -> None:
        self.capacities.append(capacity)
        self.open.append(capacity)
        self._totals.clear()
        self._waits.clear()
        self._groups.clear()
        self._idle = None

    def reserve(self, teams: frozenset[str] | None) -> None:
        """Keep these rooms for the work of some teams, in this pass."""
        self.teams = teams
        for capacity in self.capacities:
            capacity.teams = teams

    def serves(self, spec: JobSpec) -> bool:
        """Whether work of this team may come here."""
        return self.teams is None or spec.team in self.teams

    def idle(self, spec: JobSpec, placement_key: PlacementKey) -> int:
        """For how many tasks there is idle room."""
        if not self.serves(spec):
            return 0  # what is counted below is shared by teams whose work is alike
        total = self._totals.get(placement_key)
        if total is None:
            cpus = spec.cpus - 1e-6
            total = sum(v.idle_slots(spec, placement_key) for v in self.open if v.free.cpus >= cpus)
            self._totals[placement_key] = total
        return total

    def held(self, spec: JobSpec, placement_key: PlacementKey, limit: Seconds) -> int:
        """For how many tasks slots become idle within a time."""
        if not self.serves(spec):
            return 0
        waits = self._waits.get(placement_key)
        if waits is None:
            waits = self._waits[placement_key] = sorted(
                wait
                for capacity in self.capacities
                for wait in capacity.slot_waits(spec, placement_key)
            )
        return bisect_right(waits, limit)

    def could_reserve(self, spec: JobSpec) -> bool:
        """Whether this part's machines, if they were empty, would take all of a gang."""
        slots = (spec.resources.count_in(v.total) for v in self.capacities if v.allows(spec))
        return sum(slots) >= spec.task_count

    def groups(
        self, spec: JobSpec, placement_key: PlacementKey
    ) -> tuple[list[MachineCapacity], list[EndGroup]]:
        """The idle slots of this shape, and those that become idle together."""
        if not self.serves(spec):
            return [], []
        found = self._groups.get(placement_key)
        if found is None:
            idle: list[MachineCapacity] = []
            by_name: dict[str, EndGroup] = {}
            for capacity in self.capacities:
                for wait, name in capacity.slot_ends(spec, placement_key):
                    if not name:
                        idle.append(capacity)
                        continue
                    group = by_name.get(name)
                    if group is None:
                        group = by_name[name] = EndGroup(wait, [])
                    group.capacities.append(capacity)
            found = self._groups[placement_key] = (idle, list(by_name.values()))
        return found

    def set_demand(self, demand: AcceleratorDemand | None) -> None:
        """Whether room beside accelerators is kept for the work that needs these."""
        for capacity in self.capacities:
            if capacity.total.gpus > 0:
                capacity.demand = demand
                capacity.memo.clear()
        self.changed()

    def preemptable(self, priority: int) -> bool:
        """Whether any work here has a lower rank."""
        if self._lowest is None:
            self._lowest = min(
                (end.priority for v in self.capacities for end in v.ends), default=GANG_PRIORITY
            )
        return self._lowest < priority

    def candidates(self, spec: JobSpec) -> list[MachineCapacity]:
        cpus, gpus = spec.cpus - 1e-6, spec.gpus - 1e-6
        return [
            v for v in self.open if v.free.cpus >= cpus and v.free.gpus >= gpus and v.allows(spec)
        ]

    def take_most(self, spec: JobSpec, most: int, warm: bool = False) -> int:
        """Take idle room for up to `most` tasks, perhaps only where their image is; gives for
        how many there was some."""
        if most <= 0:
            return 0
        capacities = self.candidates(spec)
        if warm:
            capacities = [v for v in capacities if spec.image in v.images]
        if not capacities:
            return 0
        capacities.sort(key=lambda v: spare_key(v, spec))
        taken = 0
        for capacity in capacities:
            count = min(most - taken, capacity.times(spec))
            if count > 0:
                take_times(capacity, spec, count)
                taken += count
                if taken == most:
                    break
        if taken:
            self.changed()
        return taken

    def take_forced(self, spec: JobSpec, most: int) -> int:
        """Room for replicas that work of lower priority makes when it is stopped, one for each
        machine; gives for how many there was some."""
        taken = 0
        for capacity in self.capacities:
            if taken >= most:
                break
            if capacity.allows(spec):
                times = capacity.room_in(spec)
                if times is not None and min(times) <= 0.0:
                    capacity.take(spec.resources)
                    taken += 1
        if taken:
            self.changed()
        return taken

    def take(self, capacities: Iterable[MachineCapacity], resources: Resources) -> None:
        for capacity in capacities:
            capacity.take(resources)
        self.changed()

    def keep_for_gangs(self, gangs: GangDemand, share: float) -> None:
        """Mark the rooms if there are no more idle slots than are to be kept for gangs."""
        if self._elsewhere is None:
            self._elsewhere = any(not gangs.resources.fits_in(v.total) for v in self.capacities)
        slots = gangs.kept_slots(self._elsewhere)
        if slots < 0.5:
            return
        if self._idle is None:
            self._idle = sum(gangs.resources.count_in(v.free) for v in self.open)
        kept = gangs if self._idle <= math.ceil(slots * share) else None
        if kept is not self._kept:
            self._kept = kept
            self._totals.clear()
            self._waits.clear()
            self._groups.clear()
            for capacity in self.capacities:
                capacity.kept = kept
                capacity.memo.clear()


def take_times(capacity: MachineCapacity, spec: JobSpec, count: int) -> None:
    """Take the room of `count` tasks."""
    capacity.take(spec.resources.times(count))
