"""What to rent and what to return."""

from __future__ import annotations

import logging
import math
import random
from typing import NamedTuple

from dapplewick.core.leader.capacity import MachineCapacity, ShardCapacity, take_times
from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import MachineId, Seconds, ShardName, TypeName, Zone

log = logging.getLogger("dapplewick.fleet")

REFUSED_S = 20.0  # how long "no capacity" is believed
BOOT_TIMES = 4.0  # a machine that takes longer than this times its usual boot is given up
BOOT_LEAST_S = 60.0
OVERDUE_TIMES = 1.7  # a machine that boots for longer is no longer counted on
IDLE_TIMES = 5.0  # a cheap machine idles at most this much longer than a middling one
MACHINES_PER_REQUEST = 50  # as the cloud allows


class CapacityRequest(NamedTuple):
    """Tasks for which there is no room: `count` of them want to run at the same time."""

    spec: JobSpec
    tasks: int
    together: bool
    caps: dict[str, int] | None = None  # how many may be in each zone, where that is bound


class MachineOffer(NamedTuple):
    type: MachineType
    zone: str
    spot: bool
    price: float


class Provisioner:
    """Decides on machines; it neither writes nor calls."""

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
        self.tuning = tuning or Tuning()
        self.cache = cache
        self.zones = zones
        self.random = random.Random(seed)
        self.prices: dict[str, MachineType] = {}
        self.refused: dict[tuple[str, str, bool], Seconds] = {}

    def catalog(self, types: list[MachineType]) -> None:
        self.prices = {t.name: t for t in types}

    def no_capacity(self, now: Seconds, provisioning_request: ProvisioningRequest) -> None:
        self.refused[
            (provisioning_request.type, provisioning_request.zone, provisioning_request.spot)
        ] = now

    def coming(self, wall: Seconds) -> list[MachineCapacity]:
        """Machines that are rented or asked for and not yet up, as empty rooms. One that is
        long overdue may never come: nothing is left waiting for it."""
        capacities = []
        for machine_id, record in self.cache.machines.items():
            kind = self.cache.types.get(record.type)
            if kind is None or record.up or record.terminating:
                continue
            if wall - record.at < OVERDUE_TIMES * kind.boot_s:
                capacities.append(self._empty(machine_id, kind, record.zone, record.spot))
        for name, provisioning_request in self.cache.provisioning_requests.items():
            kind = self.cache.types.get(provisioning_request.type)
            if kind is not None:
                for n in range(provisioning_request.count):
                    capacities.append(
                        self._empty(
                            f"{name}#{n}",
                            kind,
                            provisioning_request.zone,
                            provisioning_request.spot,
                        )
                    )
        return capacities

    def _empty(self, name: str, kind: MachineType, zone: str, spot: bool) -> MachineCapacity:
        return MachineCapacity(
            MachineId(name),
            TypeName(kind.name),
            ShardName(zone),
            spot,
            kind.resources,
            kind.resources,
            [],
            0,
        )

    def _machine_offers(
        self,
        now: Seconds,
        spec: JobSpec,
        zones: list[str],
        asked: dict[tuple[str, str, bool], int],
    ) -> list[MachineOffer]:
        offers = []
        # One request at a time for each kind of machine: what is asked of a cloud that has
        # nothing left would pile up otherwise, in front of what it has.
        pending = {(b.type, b.zone, b.spot) for b in self.cache.provisioning_requests.values()}
        for kind in (self.prices or self.cache.types).values():
            if spec.types is not None and kind.name not in spec.types:
                continue
            if not spec.resources.fits_in(kind.resources):
                continue
            for zone in kind.zones or self.zones:
                if zone not in zones or (spec.zone is not None and spec.zone != zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    key = (kind.name, zone, spot)
                    refused = self.refused.get(key)
                    if key not in pending and (refused is None or now - refused > REFUSED_S):
                        if asked.get(key, 0) >= MACHINES_PER_REQUEST:
                            continue
                        price = kind.spot_price if spot else kind.price
                        offers.append(MachineOffer(kind, zone, spot, price))
        return offers

    def scale_out(
        self,
        now: Seconds,
        wall: Seconds,
        capacity_requests: list[CapacityRequest],
        shard_capacities: list[ShardCapacity],
    ) -> tuple[list[ProvisioningRequest], list[CapacityRequest]]:
        """What to ask for, beyond the rooms that there are and what is already coming; and
        the needs for which nothing is left to be asked.

        A need that finds room in machines that are up rents nothing, whatever else keeps it
        from starting: otherwise it would rent again in every pass.
        """
        pool = _capacities_by_zone(shard_capacities)
        for zone in self.zones:
            pool.setdefault(Zone(zone), ShardCapacity(ShardName(zone), []))
        for capacity in self.coming(wall):
            if capacity.zone in pool:
                pool[capacity.zone].add(capacity)
        asked: dict[tuple[str, str, bool], int] = {}
        unmet: list[CapacityRequest] = []
        for need in capacity_requests:
            spec = need.spec
            if need.together and spec.same_zone:
                placement_key = spec.placement_key
                zones = sorted(self.zones, key=lambda z: -pool[Zone(z)].idle(spec, placement_key))
                for zone in zones:
                    if self._provide(now, spec, need.tasks, need.tasks, [zone], pool, asked):
                        break
                else:
                    unmet.append(need)
            else:
                cap = spec.zone_cap if need.together and spec.spread else need.tasks
                if not self._provide(
                    now, spec, need.tasks, cap, self.zones, pool, asked, need.caps
                ):
                    unmet.append(need)
        provisioning_requests = [
            ProvisioningRequest(type=kind, zone=zone, spot=spot, count=count, at=now)
            for (kind, zone, spot), count in asked.items()
        ]
        return provisioning_requests, unmet

    def _provide(
        self,
        now: Seconds,
        spec: JobSpec,
        count: int,
        cap: int,
        zones: list[str],
        pool: dict[Zone, ShardCapacity],
        asked: dict[tuple[str, str, bool], int],
        caps: dict[str, int] | None = None,
    ) -> bool:
        """Take room for `count` tasks out of the pool, at most `cap` in a zone or as many as
        `caps` says, and ask for what is missing; says whether something was found for all."""
        left = dict.fromkeys(zones, cap)
        if caps is not None:
            left = {zone: caps.get(zone, 0) for zone in zones}
        for zone in zones:
            shard = pool[Zone(zone)]
            taken = False
            for capacity in shard.candidates(spec):
                if count <= 0 or left[zone] <= 0:
                    break
                # Singles that need no accelerators don't count on machines that are rented
                # for theirs: room for them is to be had for much less.
                if spec.gpus == 0 and not spec.is_gang and capacity.total.gpus > 0:
                    continue
                fit = min(count, left[zone], capacity.times(spec))
                if fit > 0:
                    take_times(capacity, spec, fit)
                    left[zone] -= fit
                    count -= fit
                    taken = True
            if taken:
                shard.changed()
        while count > 0 and sum(asked.values()) < self._machines_per_pass:
            open_zones = [z for z in zones if left[z] > 0]
            offer = self._best(now, spec, count, asked, open_zones)
            if offer is None or self._over_cap(offer, asked):
                return False
            key = (offer.type.name, offer.zone, offer.spot)
            asked[key] = asked.get(key, 0) + 1
            capacity = self._empty(f"new#{asked[key]}", offer.type, offer.zone, offer.spot)
            fit = min(count, left[offer.zone], capacity.times(spec))
            take_times(capacity, spec, fit)
            left[offer.zone] -= fit
            count -= fit
            pool[Zone(offer.zone)].add(capacity)
        return count <= 0

    def _hourly(self, type_: str, spot: bool) -> float:
        kind = self.prices.get(type_) or self.cache.types.get(type_)
        if kind is None:
            return 0.0
        return kind.spot_price if spot else kind.price

    def _over_cap(self, offer: MachineOffer, asked: dict[tuple[str, str, bool], int]) -> bool:
        """Whether one more machine would cost more than operators allow."""
        if not self.tuning.spend_cap:
            return False
        spent = sum(self._hourly(m.type, m.spot) for m in self.cache.machines.values())
        spent += sum(
            self._hourly(b.type, b.spot) * b.count
            for b in self.cache.provisioning_requests.values()
        )
        spent += sum(self._hourly(type_, spot) * n for (type_, _, spot), n in asked.items())
        return spent + offer.price > self.tuning.spend_cap

    def _best(
        self,
        now: Seconds,
        spec: JobSpec,
        count: int,
        asked: dict[tuple[str, str, bool], int],
        zones: list[str],
    ) -> MachineOffer | None:
        """The offer with the lowest price for each task it would run now."""
        best: tuple[float, float, MachineOffer] | None = None
        for offer in self._machine_offers(now, spec, zones, asked):
            slots = min(count, spec.resources.count_in(offer.type.resources))
            # Machines of one kind and zone are few: ask for some elsewhere too.
            crowd = asked.get((offer.type.name, offer.zone, offer.spot), 0)
            key = (offer.price / slots * (1.0 + 0.1 * crowd), self.random.random())
            if best is None or key < best[:2]:
                best = (*key, offer)
        return best[2] if best is not None else None

    def patience(self, type_: str) -> Seconds:
        """How long a machine of this type may idle before it is returned: idling costs about
        the same for each, so the cheap ones are there when the next work comes."""
        kinds = self.prices or self.cache.types
        kind = kinds.get(type_)
        if kind is None or kind.price <= 0:
            return self.tuning.idle_s
        middling = sum(k.price for k in kinds.values()) / len(kinds)
        return self.tuning.idle_s * min(IDLE_TIMES, middling / kind.price)

    def boot_limit(self, type_: str) -> Seconds:
        kind = self.cache.types.get(type_)
        return max(BOOT_LEAST_S, BOOT_TIMES * (kind.boot_s if kind is not None else 60.0))


def _capacities_by_zone(shard_capacities: list[ShardCapacity]) -> dict[Zone, ShardCapacity]:
    """The rooms of each zone, whose machines may be in several parts."""
    shards: dict[Zone, list[ShardCapacity]] = {}
    for room in shard_capacities:
        shards.setdefault(room.zone, []).append(room)
    return {zone: _joined(zone, some) for zone, some in shards.items()}


def _joined(zone: Zone, shard_capacities: list[ShardCapacity]) -> ShardCapacity:
    if len(shard_capacities) == 1:
        return shard_capacities[0]
    return ShardCapacity(
        ShardName(zone), [capacity for room in shard_capacities for capacity in room.capacities]
    )


def wanted_slots(work: Seconds, running: int, horizon: Seconds) -> int:
    """How many more slots finish this work within the horizon."""
    return max(0, math.ceil(work / max(1.0, horizon)) - running)
