"""Scaling out: which machines to ask the cloud for."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.leader.capacity_requests import CapacityRequest
from dapplewick.core.leader.machine_capacity import MachineCapacity, empty_capacity
from dapplewick.core.leader.machine_offers import (
    MACHINES_PER_REQUEST,
    MachineMarket,
    MachineOffer,
    MachinePool,
)
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import MachineId, Seconds, ShardName, TypeName, Zone

OVERDUE_TIMES = 1.7  # a machine that boots for longer than this times its usual is not counted on
CROWDING = 0.1  # each machine that is asked of a pool makes the next one dearer by so much


class ScaleOut(NamedTuple):
    """What to ask the cloud for, and the requests for which nothing is left to be asked."""

    requests: list[ProvisioningRequest]
    unmet: list[CapacityRequest]


class Provisioner:
    """Decides on new machines; it neither writes nor calls."""

    def __init__(
        self,
        cache: WatchCache,
        zones: list[str],
        seed: int,
        tuning: Tuning | None = None,
        requests_per_pass: float = 1.0,
    ) -> None:
        # More requests than the cloud takes in a pass would only wait, for more and more work
        # that is known by then.
        self._machines_per_pass = max(1, int(requests_per_pass)) * MACHINES_PER_REQUEST
        self._tuning = tuning or Tuning()
        self._cache = cache
        self._zones = zones
        self._random = random.Random(seed)
        self._market = MachineMarket(cache, zones)

    def set_catalog(self, types: Iterable[MachineType]) -> None:
        """Take over the cloud's catalogue."""
        self._market.set_catalog(types)

    def record_no_capacity(self, now: Seconds, provisioning_request: ProvisioningRequest) -> None:
        """Note that the cloud had not all machines that were asked for."""
        self._market.refuse(now, provisioning_request)

    def idle_limit_s(self, machine_type: str) -> Seconds:
        """How long a machine of this type may idle before it is terminated."""
        return self._market.idle_limit_s(machine_type, self._tuning.idle_s)

    def boot_limit_s(self, machine_type: str) -> Seconds:
        """How long a machine of this type may take to come up before it is given up."""
        return self._market.boot_limit_s(machine_type)

    def expected_machines(self, wall_time: Seconds) -> list[MachineCapacity]:
        """Machines that are provisioned or asked for and not yet up, as empty ones.

        One that is long overdue may never come: nothing is left waiting for it.
        """
        capacities = []
        for machine_id, record in self._cache.machines.items():
            machine_type = self._cache.types.get(record.type)
            if machine_type is None or record.up or record.terminating:
                continue
            if wall_time - record.at < OVERDUE_TIMES * machine_type.boot_s:
                capacities.append(_empty(machine_id, machine_type, record.zone, record.spot))
        for name, request in self._cache.provisioning_requests.items():
            machine_type = self._cache.types.get(request.type)
            if machine_type is not None:
                capacities += [
                    _empty(f"{name}#{n}", machine_type, request.zone, request.spot)
                    for n in range(request.count)
                ]
        return capacities

    def scale_out(
        self,
        now: Seconds,
        wall_time: Seconds,
        capacity_requests: list[CapacityRequest],
        shard_capacities: list[ShardCapacity],
    ) -> ScaleOut:
        """Decide what to ask for, beyond what is there and what is already coming.

        A request that finds slots on machines that are up asks for nothing, whatever else keeps
        its work from starting: otherwise it would ask again in every pass. The slots that are
        found are taken out of the shards' capacities.
        """
        zones = _capacities_by_zone(shard_capacities)
        for zone in self._zones:
            zones.setdefault(Zone(zone), ShardCapacity(ShardName(zone), []))
        for capacity in self.expected_machines(wall_time):
            if capacity.zone in zones:
                zones[capacity.zone].add(capacity)
        scaling = _ScalingPass(
            now,
            zones,
            self._zones,
            self._market,
            self._random,
            self._machines_per_pass,
            self._tuning.spend_cap,
        )
        unmet = [request for request in capacity_requests if not scaling.meet(request)]
        return ScaleOut(scaling.provisioning_requests(), unmet)


class _ScalingPass:
    """What one pass takes of the machines that there are, and asks for beyond them."""

    def __init__(
        self,
        now: Seconds,
        capacities: dict[Zone, ShardCapacity],
        zones: list[str],
        market: MachineMarket,
        rng: random.Random,
        most_machines: int,
        spend_cap: float,
    ) -> None:
        self._now = now
        self._capacities = capacities
        self._zones = zones
        self._market = market
        self._random = rng
        self._most_machines = most_machines
        self._spend_cap = spend_cap  # for an hour of all machines; 0 if there is none
        self._asked: dict[MachinePool, int] = {}

    def provisioning_requests(self) -> list[ProvisioningRequest]:
        """One request for each pool of which machines are wanted."""
        return [
            ProvisioningRequest(
                type=pool.machine_type, zone=pool.zone, spot=pool.spot, count=count, at=self._now
            )
            for pool, count in self._asked.items()
        ]

    def meet(self, request: CapacityRequest) -> bool:
        """Find or ask for slots for all tasks of a request; whether that was possible."""
        spec, count = request.spec, request.task_count
        if request.together and spec.same_zone:
            zones = sorted(self._zones, key=lambda z: -self._capacities[Zone(z)].idle_slots(spec))
            return any(self._provide(spec, count, {zone: count}) for zone in zones)
        if request.zone_limits is not None:
            limits = {zone: request.zone_limits.get(zone, 0) for zone in self._zones}
        else:
            limit = spec.zone_cap if request.together and spec.spread else count
            limits = dict.fromkeys(self._zones, limit)
        return self._provide(spec, count, limits)

    def _provide(self, spec: JobSpec, count: int, zone_limits: dict[str, int]) -> bool:
        """Take slots for so many tasks and ask for what is missing; whether all have one.

        Args:
            spec: The work.
            count: For how many tasks.
            zone_limits: For at most how many in each zone; it is used up.
        """
        count -= self._take_present(spec, count, zone_limits)
        while count > 0 and sum(self._asked.values()) < self._most_machines:
            open_zones = [zone for zone, left in zone_limits.items() if left > 0]
            offer = self._best_offer(spec, count, open_zones)
            if offer is None or self._is_too_dear(offer):
                return False
            fit = self._ask(offer, spec, min(count, zone_limits[offer.zone]))
            zone_limits[offer.zone] -= fit
            count -= fit
        return count <= 0

    def _take_present(self, spec: JobSpec, count: int, zone_limits: dict[str, int]) -> int:
        """Take slots on machines that are there or coming; gives for how many tasks."""
        taken = 0
        for zone in zone_limits:
            shard = self._capacities[Zone(zone)]
            before = taken
            for capacity in shard.machines_for(spec):
                if taken >= count or zone_limits[zone] <= 0:
                    break
                # Array tasks that need no accelerators don't count on machines that are
                # provisioned for theirs: slots for them are to be had for much less.
                if spec.gpus == 0 and not spec.is_gang and capacity.total.gpus > 0:
                    continue
                fit = min(count - taken, zone_limits[zone], capacity.slot_count(spec))
                if fit > 0:
                    capacity.reserve(spec.resources.times(fit))
                    zone_limits[zone] -= fit
                    taken += fit
            if taken > before:
                shard.clear_memos()
        return taken

    def _ask(self, offer: MachineOffer, spec: JobSpec, most: int) -> int:
        """Ask for one more machine, and take slots on it; gives for how many tasks."""
        pool = offer.pool
        self._asked[pool] = self._asked.get(pool, 0) + 1
        name = f"new#{self._asked[pool]}"
        capacity = _empty(name, offer.machine_type, offer.zone, offer.spot)
        fit = min(most, capacity.slot_count(spec))
        capacity.reserve(spec.resources.times(fit))
        self._capacities[Zone(offer.zone)].add(capacity)
        return fit

    def _best_offer(self, spec: JobSpec, count: int, zones: list[str]) -> MachineOffer | None:
        """The offer with the lowest price for each task that it would run now; ties by chance."""
        best: MachineOffer | None = None
        best_cost = (0.0, 0.0)
        for offer in self._market.offers(self._now, spec, zones, self._asked):
            slots = min(count, spec.resources.count_in(offer.machine_type.resources))
            # Machines of one pool are few: ask for some elsewhere too.
            crowding = 1.0 + CROWDING * self._asked.get(offer.pool, 0)
            cost = (offer.hourly_price / slots * crowding, self._random.random())
            if best is None or cost < best_cost:
                best, best_cost = offer, cost
        return best

    def _is_too_dear(self, offer: MachineOffer) -> bool:
        """Whether one more machine would cost more than operators allow."""
        if not self._spend_cap:
            return False
        spending = self._market.hourly_spending()
        spending += sum(
            self._market.hourly_price(pool.machine_type, pool.spot) * count
            for pool, count in self._asked.items()
        )
        return spending + offer.hourly_price > self._spend_cap


def _empty(name: str, machine_type: MachineType, zone: str, spot: bool) -> MachineCapacity:
    return empty_capacity(
        MachineId(name), TypeName(machine_type.name), zone, spot, machine_type.resources
    )


def _capacities_by_zone(shard_capacities: list[ShardCapacity]) -> dict[Zone, ShardCapacity]:
    """The capacity of each zone, whose machines may be in several shards."""
    shards: dict[Zone, list[ShardCapacity]] = {}
    for capacity in shard_capacities:
        shards.setdefault(capacity.zone, []).append(capacity)
    return {zone: _joined(zone, of_zone) for zone, of_zone in shards.items()}


def _joined(zone: Zone, shard_capacities: list[ShardCapacity]) -> ShardCapacity:
    if len(shard_capacities) == 1:
        return shard_capacities[0]
    return ShardCapacity(
        ShardName(zone), [machine for shard in shard_capacities for machine in shard.capacities]
    )
