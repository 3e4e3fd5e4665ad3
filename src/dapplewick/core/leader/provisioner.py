"""Scaling out: which machines to request from the cloud."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.leader.capacity_requests import CapacityRequest
from dapplewick.core.leader.machine_capacity import MachineCapacity, empty_capacity
from dapplewick.core.leader.machine_offers import (
    MAX_MACHINES_PER_REQUEST,
    MachineOffer,
    MachineOffers,
    MachinePool,
)
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import MachineId, Seconds, ShardName, TypeName, Zone

# A machine that has booted for longer than this multiple of its type's usual boot time is no longer
# counted as expected capacity.
OVERDUE_BOOT_FACTOR = 1.7
# Each machine already requested from a pool raises the cost at which the pool's next machine is
# compared by this fraction, which spreads requests over several pools.
POOL_CROWDING_PENALTY = 0.1


class ScaleOutDecision(NamedTuple):
    """The result of one scale-out decision.

    Attributes:
        requests: The provisioning requests to send to the cloud.
        unmet: The capacity requests that existing and requested machines cannot fully serve.
    """

    requests: list[ProvisioningRequest]
    unmet: list[CapacityRequest]


class Provisioner:
    """Decides which machines to provision.

    It neither writes records nor calls the cloud: the caller does both.
    """

    def __init__(
        self,
        cache: WatchCache,
        zones: list[str],
        seed: int,
        tuning: Tuning | None = None,
        requests_per_pass: float = 1.0,
    ) -> None:
        # The cloud's request rate limits how many requests can be sent per pass. Excess requests
        # would queue, and by the time they are sent the demand has changed.
        self._machines_per_pass = max(1, int(requests_per_pass)) * MAX_MACHINES_PER_REQUEST
        self._tuning = tuning or Tuning()
        self._cache = cache
        self._zones = zones
        self._random = random.Random(seed)
        self._offers = MachineOffers(cache, zones)

    def set_catalog(self, types: Iterable[MachineType]) -> None:
        """Replace the catalog of machine types with the one that the cloud returned."""
        self._offers.set_catalog(types)

    def record_refusal(self, now: Seconds, provisioning_request: ProvisioningRequest) -> None:
        """Record that the cloud could not provide all machines of a request."""
        self._offers.record_refusal(now, provisioning_request)

    def idle_limit_s(self, machine_type: str) -> Seconds:
        """How long a machine of this type may idle before it is terminated."""
        return self._offers.idle_limit_s(machine_type, self._tuning.idle_s)

    def boot_limit_s(self, machine_type: str) -> Seconds:
        """How long a machine of this type may boot before it is terminated."""
        return self._offers.boot_limit_s(machine_type)

    def expected_machines(self, wall_time: Seconds) -> list[MachineCapacity]:
        """The machines that are booting or requested, each with all its resources free.

        Machines that are overdue (see `OVERDUE_BOOT_FACTOR`) are excluded: they may never finish
        booting, and no work should wait for them.
        """
        capacities = []
        for machine_id, record in self._cache.machines.items():
            machine_type = self._cache.types.get(record.type)
            if machine_type is None or record.up or record.terminating:
                continue
            if wall_time - record.provisioned_at < OVERDUE_BOOT_FACTOR * machine_type.boot_s:
                capacities.append(
                    _empty_machine(machine_id, machine_type, record.zone, record.spot)
                )
        for name, request in self._cache.provisioning_requests.items():
            machine_type = self._cache.types.get(request.type)
            if machine_type is not None:
                capacities += [
                    _empty_machine(f"{name}#{n}", machine_type, request.zone, request.spot)
                    for n in range(request.count)
                ]
        return capacities

    def scale_out(
        self,
        now: Seconds,
        wall_time: Seconds,
        capacity_requests: list[CapacityRequest],
        shard_capacities: list[ShardCapacity],
    ) -> ScaleOutDecision:
        """Decide which machines to request beyond those that are up, booting or requested.

        If a capacity request finds free slots on machines that are up, no machine is requested
        for these tasks, even if something else delays their start: otherwise every pass would
        request more machines. The slots found are reserved in `shard_capacities`.

        Args:
            now: The monotonic clock, in seconds.
            wall_time: The wall clock, which is compared with times of provisioning.
            capacity_requests: The demand, in the order in which it is served.
            shard_capacities: The capacity of all shards; this method changes it.
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
            self._offers,
            self._random,
            self._machines_per_pass,
            self._tuning.spend_cap,
        )
        unmet = [request for request in capacity_requests if not scaling.satisfy(request)]
        return ScaleOutDecision(scaling.provisioning_requests(), unmet)


class _ScalingPass:
    """One scale-out decision: slots reserved on existing machines, and new machines to request."""

    def __init__(
        self,
        now: Seconds,
        capacities: dict[Zone, ShardCapacity],
        zones: list[str],
        offers: MachineOffers,
        rng: random.Random,
        max_machines: int,
        spend_cap: float,
    ) -> None:
        self._now = now
        self._capacities = capacities
        self._zones = zones
        self._offers = offers
        self._random = rng
        self._max_machines = max_machines
        self._spend_cap = spend_cap  # price per hour of all machines; 0 means no cap
        self._requested: dict[MachinePool, int] = {}

    def provisioning_requests(self) -> list[ProvisioningRequest]:
        """One provisioning request for each pool from which machines are requested."""
        return [
            ProvisioningRequest(
                type=pool.machine_type,
                zone=pool.zone,
                spot=pool.spot,
                count=count,
                requested_at=self._now,
            )
            for pool, count in self._requested.items()
        ]

    def satisfy(self, request: CapacityRequest) -> bool:
        """Reserve slots for all tasks of a request, requesting machines where slots are missing.

        Returns:
            Whether all tasks have a slot on an existing or requested machine.
        """
        spec, count = request.spec, request.task_count
        if request.all_or_nothing and spec.same_zone:
            zones = sorted(self._zones, key=lambda z: -self._capacities[Zone(z)].idle_slots(spec))
            return any(self._allocate_slots(spec, count, {zone: count}) for zone in zones)
        if request.zone_limits is not None:
            limits = {zone: request.zone_limits.get(zone, 0) for zone in self._zones}
        else:
            limit = spec.max_tasks_per_zone if request.all_or_nothing and spec.spread else count
            limits = dict.fromkeys(self._zones, limit)
        return self._allocate_slots(spec, count, limits)

    def _allocate_slots(self, spec: JobSpec, count: int, zone_limits: dict[str, int]) -> bool:
        """Reserve slots for `count` tasks, requesting machines where slots are missing.

        Args:
            spec: The job specification of the tasks.
            count: The number of tasks.
            zone_limits: The maximum number of tasks in each zone. Allocated tasks are subtracted
                from it in place.

        Returns:
            Whether all tasks have a slot on an existing or requested machine.
        """
        count -= self._reserve_existing(spec, count, zone_limits)
        while count > 0 and sum(self._requested.values()) < self._max_machines:
            open_zones = [zone for zone, remaining in zone_limits.items() if remaining > 0]
            offer = self._best_offer(spec, count, open_zones)
            if offer is None or self._exceeds_spend_cap(offer):
                return False
            fitting = self._request_machine(offer, spec, min(count, zone_limits[offer.zone]))
            zone_limits[offer.zone] -= fitting
            count -= fitting
        return count <= 0

    def _reserve_existing(self, spec: JobSpec, count: int, zone_limits: dict[str, int]) -> int:
        """Reserve slots on machines that are up or expected; returns the number of tasks served."""
        reserved = 0
        for zone in zone_limits:
            shard = self._capacities[Zone(zone)]
            before = reserved
            for capacity in shard.machines_for(spec):
                if reserved >= count or zone_limits[zone] <= 0:
                    break
                # Array tasks that need no accelerators are not planned on accelerator machines:
                # a slot on a machine without accelerators costs much less.
                if spec.gpus == 0 and not spec.is_gang and capacity.total.gpus > 0:
                    continue
                fitting = min(count - reserved, zone_limits[zone], capacity.slot_count(spec))
                if fitting > 0:
                    capacity.reserve(spec.resources.times(fitting))
                    zone_limits[zone] -= fitting
                    reserved += fitting
            if reserved > before:
                shard.clear_memos()
        return reserved

    def _request_machine(self, offer: MachineOffer, spec: JobSpec, max_tasks: int) -> int:
        """Request one more machine and reserve slots on it; returns the number of tasks served."""
        pool = offer.pool
        self._requested[pool] = self._requested.get(pool, 0) + 1
        name = f"new#{self._requested[pool]}"
        capacity = _empty_machine(name, offer.machine_type, offer.zone, offer.spot)
        fitting = min(max_tasks, capacity.slot_count(spec))
        capacity.reserve(spec.resources.times(fitting))
        self._capacities[Zone(offer.zone)].add(capacity)
        return fitting

    def _best_offer(self, spec: JobSpec, count: int, zones: list[str]) -> MachineOffer | None:
        """The offer with the lowest price per task that would run now; ties broken at random."""
        best: MachineOffer | None = None
        best_cost = (0.0, 0.0)
        for offer in self._offers.matching(self._now, spec, zones, self._requested):
            slots = min(count, spec.resources.fit_count(offer.machine_type.resources))
            # A pool holds few machines, so requests are spread over several pools.
            crowding = 1.0 + POOL_CROWDING_PENALTY * self._requested.get(offer.pool, 0)
            cost = (offer.hourly_price / slots * crowding, self._random.random())
            if best is None or cost < best_cost:
                best, best_cost = offer, cost
        return best

    def _exceeds_spend_cap(self, offer: MachineOffer) -> bool:
        """Whether this machine would raise the hourly spending above the operator's cap."""
        if not self._spend_cap:
            return False
        spending = self._offers.hourly_spending()
        spending += sum(
            self._offers.hourly_price(pool.machine_type, pool.spot) * count
            for pool, count in self._requested.items()
        )
        return spending + offer.hourly_price > self._spend_cap


def _empty_machine(name: str, machine_type: MachineType, zone: str, spot: bool) -> MachineCapacity:
    return empty_capacity(
        MachineId(name), TypeName(machine_type.name), zone, spot, machine_type.resources
    )


def _capacities_by_zone(shard_capacities: list[ShardCapacity]) -> dict[Zone, ShardCapacity]:
    """The capacity of each zone, merged over the shards that partition its machines."""
    shards: dict[Zone, list[ShardCapacity]] = {}
    for capacity in shard_capacities:
        shards.setdefault(capacity.zone, []).append(capacity)
    return {zone: _merge_shards(zone, zone_shards) for zone, zone_shards in shards.items()}


def _merge_shards(zone: Zone, shard_capacities: list[ShardCapacity]) -> ShardCapacity:
    if len(shard_capacities) == 1:
        return shard_capacities[0]
    return ShardCapacity(
        ShardName(zone), [machine for shard in shard_capacities for machine in shard.capacities]
    )
