"""The machines that the cloud offers, their prices, and recent refusals by the cloud."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds

REFUSAL_BACKOFF_S = 20.0  # a pool is not requested again for this long after a refusal
MAX_MACHINES_PER_REQUEST = 50  # limit of the cloud's API
# The idle limit of a cheap machine is at most this multiple of that of an average-priced machine.
MAX_IDLE_FACTOR = 5.0
# A machine is terminated if it boots for longer than this multiple of its type's usual boot time,
# but not before MIN_BOOT_LIMIT_S.
BOOT_LIMIT_FACTOR = 4.0
MIN_BOOT_LIMIT_S = 60.0
DEFAULT_BOOT_S = 60.0  # usual boot time assumed for a type that is no longer recorded


class MachinePool(NamedTuple):
    """A pool of interchangeable machines; each provisioning request names one pool."""

    machine_type: str
    zone: str
    spot: bool


class MachineOffer(NamedTuple):
    """A machine that the cloud can provide, and its price.

    Attributes:
        machine_type: Its type.
        zone: Its zone.
        spot: Whether the cloud may reclaim it.
        hourly_price: Its price per hour.
    """

    machine_type: MachineType
    zone: str
    spot: bool
    hourly_price: float

    @property
    def pool(self) -> MachinePool:
        """The pool that the machine would come from."""
        return MachinePool(self.machine_type.name, self.zone, self.spot)


class MachineOffers:
    """The cloud's current offers, according to its catalog and its latest refusals."""

    def __init__(self, cache: WatchCache, zones: list[str]) -> None:
        self._cache = cache
        self._zones = zones
        self._catalog: dict[str, MachineType] = {}
        self._refused_at: dict[MachinePool, Seconds] = {}

    def set_catalog(self, types: Iterable[MachineType]) -> None:
        """Set the catalog that the cloud returned; until then the stored types are used."""
        self._catalog = {machine_type.name: machine_type for machine_type in types}

    def record_refusal(self, now: Seconds, request: ProvisioningRequest) -> None:
        """Record that the cloud could not provide all machines of a request."""
        self._refused_at[MachinePool(request.type, request.zone, request.spot)] = now

    def matching(
        self,
        now: Seconds,
        spec: JobSpec,
        zones: Collection[str],
        requested: Mapping[MachinePool, int],
    ) -> list[MachineOffer]:
        """The offers of machines in these zones on which a task of this job fits.

        Pools with a pending provisioning request are excluded: while the cloud has no machines of
        a pool, further requests for the pool would queue up ahead of requests that the cloud can
        serve.

        Args:
            now: The monotonic clock, in seconds.
            spec: The job specification.
            zones: The zones in which machines may be provisioned.
            requested: The number of machines already requested from each pool in this pass.
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
                    if pool not in pending and self._is_available(now, pool, requested):
                        price = (
                            machine_type.hourly_spot_price if spot else machine_type.hourly_price
                        )
                        offers.append(MachineOffer(machine_type, zone, spot, price))
        return offers

    def _is_available(
        self, now: Seconds, pool: MachinePool, requested: Mapping[MachinePool, int]
    ) -> bool:
        refused_at = self._refused_at.get(pool)
        if refused_at is not None and now - refused_at <= REFUSAL_BACKOFF_S:
            return False
        return requested.get(pool, 0) < MAX_MACHINES_PER_REQUEST

    def hourly_price(self, machine_type: str, spot: bool) -> float:
        """The price per hour of a machine; 0 if its type is in neither catalog nor records."""
        known = self._catalog.get(machine_type) or self._cache.types.get(machine_type)
        if known is None:
            return 0.0
        return known.hourly_spot_price if spot else known.hourly_price

    def hourly_spending(self) -> float:
        """The total price per hour of all machines, including requested ones."""
        spending = sum(self.hourly_price(m.type, m.spot) for m in self._cache.machines.values())
        spending += sum(
            self.hourly_price(request.type, request.spot) * request.count
            for request in self._cache.provisioning_requests.values()
        )
        return spending

    def idle_limit_s(self, machine_type: str, average_limit_s: Seconds) -> Seconds:
        """How long a machine may idle before it is terminated.

        The limit is inversely proportional to the price, within `MAX_IDLE_FACTOR`, so that the
        cost of idling is about the same for each type and cheap machines are still up when the
        next work arrives.

        Args:
            machine_type: The name of its type.
            average_limit_s: The idle limit of a machine of average price.
        """
        types = self._catalog or self._cache.types
        known = types.get(machine_type)
        if known is None or known.hourly_price <= 0:
            return average_limit_s
        average_price = sum(t.hourly_price for t in types.values()) / len(types)
        return average_limit_s * min(MAX_IDLE_FACTOR, average_price / known.hourly_price)

    def boot_limit_s(self, machine_type: str) -> Seconds:
        """How long a machine may boot before it is terminated."""
        known = self._cache.types.get(machine_type)
        boot_s = known.boot_s if known is not None else DEFAULT_BOOT_S
        return max(MIN_BOOT_LIMIT_S, BOOT_LIMIT_FACTOR * boot_s)
