"""What machines the cloud offers, at what price, and what it has refused lately."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds

REFUSED_S = 20.0  # how long "no capacity" is believed
MACHINES_PER_REQUEST = 50  # as the cloud allows
IDLE_TIMES = 5.0  # a cheap machine idles at most this much longer than one of average price
BOOT_TIMES = 4.0  # a machine that takes longer than this times its usual boot is given up
LEAST_BOOT_LIMIT_S = 60.0
UNKNOWN_BOOT_S = 60.0  # for a type that the catalogue does not name any more


class MachinePool(NamedTuple):
    """Machines that are alike to the cloud: a request asks for some of one pool."""

    machine_type: str
    zone: str
    spot: bool


class MachineOffer(NamedTuple):
    """One more machine, and what it costs.

    Attributes:
        machine_type: Its type.
        zone: Its zone.
        spot: Whether the cloud may reclaim it.
        hourly_price: What an hour of it costs.
    """

    machine_type: MachineType
    zone: str
    spot: bool
    hourly_price: float

    @property
    def pool(self) -> MachinePool:
        """The pool that the machine would come from."""
        return MachinePool(self.machine_type.name, self.zone, self.spot)


class MachineMarket:
    """The offers of the cloud, by its catalogue and by its newest answers."""

    def __init__(self, cache: WatchCache, zones: list[str]) -> None:
        self._cache = cache
        self._zones = zones
        self._catalog: dict[str, MachineType] = {}
        self._refused_at: dict[MachinePool, Seconds] = {}

    def set_catalog(self, types: Iterable[MachineType]) -> None:
        """Take over the cloud's catalogue; until then the stored types are used."""
        self._catalog = {machine_type.name: machine_type for machine_type in types}

    def refuse(self, now: Seconds, request: ProvisioningRequest) -> None:
        """Note that the cloud had not all machines that were asked for."""
        self._refused_at[MachinePool(request.type, request.zone, request.spot)] = now

    def offers(
        self,
        now: Seconds,
        spec: JobSpec,
        zones: Collection[str],
        asked: Mapping[MachinePool, int],
    ) -> list[MachineOffer]:
        """Machines on which a task of this work fits, in these zones.

        One request is made at a time for each pool: what is asked of a cloud that has nothing left
        would pile up otherwise, in front of what it has.

        Args:
            now: The steady clock.
            spec: The work.
            zones: The zones in which machines may be.
            asked: How many machines of each pool this pass asks for already.
        """
        pending = {
            MachinePool(request.type, request.zone, request.spot)
            for request in self._cache.provisioning_requests.values()
        }
        offers = []
        for machine_type in (self._catalog or self._cache.types).values():
            if spec.types is not None and machine_type.name not in spec.types:
                continue
            if not spec.resources.fits_in(machine_type.resources):
                continue
            for zone in machine_type.zones or self._zones:
                if zone not in zones or (spec.zone is not None and spec.zone != zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    pool = MachinePool(machine_type.name, zone, spot)
                    if pool not in pending and self._may_have(now, pool, asked):
                        price = (
                            machine_type.hourly_spot_price if spot else machine_type.hourly_price
                        )
                        offers.append(MachineOffer(machine_type, zone, spot, price))
        return offers

    def _may_have(self, now: Seconds, pool: MachinePool, asked: Mapping[MachinePool, int]) -> bool:
        refused_at = self._refused_at.get(pool)
        if refused_at is not None and now - refused_at <= REFUSED_S:
            return False
        return asked.get(pool, 0) < MACHINES_PER_REQUEST

    def hourly_price(self, machine_type: str, spot: bool) -> float:
        """What an hour of such a machine costs; 0 if nobody knows its type."""
        known = self._catalog.get(machine_type) or self._cache.types.get(machine_type)
        if known is None:
            return 0.0
        return known.hourly_spot_price if spot else known.hourly_price

    def hourly_spending(self) -> float:
        """What an hour of all machines costs, with those that are asked for."""
        spending = sum(self.hourly_price(m.type, m.spot) for m in self._cache.machines.values())
        spending += sum(
            self.hourly_price(request.type, request.spot) * request.count
            for request in self._cache.provisioning_requests.values()
        )
        return spending

    def idle_limit_s(self, machine_type: str, average_limit_s: Seconds) -> Seconds:
        """How long a machine may idle before it is terminated.

        Idling costs about the same for each type, so the cheap ones are there when the next work
        comes.

        Args:
            machine_type: The name of its type.
            average_limit_s: The limit for a machine of average price.
        """
        types = self._catalog or self._cache.types
        known = types.get(machine_type)
        if known is None or known.hourly_price <= 0:
            return average_limit_s
        average_price = sum(t.hourly_price for t in types.values()) / len(types)
        return average_limit_s * min(IDLE_TIMES, average_price / known.hourly_price)

    def boot_limit_s(self, machine_type: str) -> Seconds:
        """How long a machine may take to come up before it is given up."""
        known = self._cache.types.get(machine_type)
        boot_s = known.boot_s if known is not None else UNKNOWN_BOOT_S
        return max(LEAST_BOOT_LIMIT_S, BOOT_TIMES * boot_s)
