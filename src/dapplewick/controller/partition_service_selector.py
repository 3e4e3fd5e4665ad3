"""Selects the service that moves machines between partitions of zones, if one is needed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dapplewick.controller.partition_host import PartitionHost
from dapplewick.storage.formats import CURRENT_FORMAT, PARTITIONS_FORMAT
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import partition_of

if TYPE_CHECKING:
    from dapplewick.partitions.service import PartitionService


class PartitionServiceSelector:
    """Selects the partition service of this controller.

    A service is needed if partitions are enabled, or if partitions of an earlier configuration
    still exist.

    Attributes:
        service: the service for the operators' plan; None if partitions are disabled.
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
        """Return the service that moves machines between partitions now, if one is needed.

        If partitions are disabled while partitions or transfers of an earlier configuration still
        exist, a service without a plan returns all machines to the default shards of their
        zones.
        """
        if self.service is not None:
            return self.service
        if not self._cache.transfers and not any(map(partition_of, self._cache.shards)):
            self._dissolving_service = None
        elif self._dissolving_service is None:
            # Imported on demand: controllers without partitions need neither it nor its solver.
            from dapplewick.partitions.service import PartitionService

            self._dissolving_service = PartitionService(None)
            self._dissolving_service.attach(self._host)
        return self._dissolving_service

    def shard_names(self) -> list[str]:
        """Return the names of all shards that job records may refer to."""
        return self._zones if self.service is None else self.service.shard_names(self._zones)


def supported_format(partitions: PartitionService | None) -> int:
    """Return the newest record format that a controller announces as supported."""
    return PARTITIONS_FORMAT if partitions is not None else CURRENT_FORMAT
