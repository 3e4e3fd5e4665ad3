"""Whether partitions of zones are switched on, and what moves machines between them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dapplewick.controller.partition_host import PartitionHost
from dapplewick.storage.formats import CURRENT_FORMAT, PARTITIONS_FORMAT
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import partition_of

if TYPE_CHECKING:
    from dapplewick.partitions.service import PartitionService


class PartitionSwitch:
    """The partition service, where partitions are switched on or some are left from before.

    Attributes:
        service: the service by the operators' plan; None where partitions are switched off.
    """

    def __init__(
        self,
        service: PartitionService | None,
        host: PartitionHost,
        cache: WatchCache,
        zones: list[str],
    ) -> None:
        self.service = service
        self._host = host
        self._cache = cache
        self._zones = zones
        self._dissolving_service: PartitionService | None = None
        if service is not None:
            service.attach(host)

    def active_service(self) -> PartitionService | None:
        """The service that moves machines between partitions now.

        Where partitions are switched off, but some are left from before, one without a plan brings
        all machines back to the zones' own shards.
        """
        if self.service is not None:
            return self.service
        if not self._cache.transfers and not any(map(partition_of, self._cache.shards)):
            self._dissolving_service = None
        elif self._dissolving_service is None:
            # Loaded only here: controllers without partitions do without it and its solver.
            from dapplewick.partitions.service import PartitionService

            self._dissolving_service = PartitionService(None)
            self._dissolving_service.attach(self._host)
        return self._dissolving_service

    def shard_names(self) -> list[str]:
        """The shards that records of jobs may have to name."""
        return self._zones if self.service is None else self.service.shard_names(self._zones)


def supported_format(partitions: PartitionService | None) -> int:
    """The newest format of records that a controller says it understands."""
    return PARTITIONS_FORMAT if partitions is not None else CURRENT_FORMAT
