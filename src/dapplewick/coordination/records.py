"""The interface through which coordination uses the controller's copy of the records."""

from __future__ import annotations

from typing import Protocol

from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds


class Records(Protocol):
    """A watch cache and the operations that keep it up to date."""

    @property
    def cache(self) -> WatchCache:
        """The copy of the records."""
        ...

    @property
    def ready(self) -> bool:
        """Whether the records have been read at least once since this process started."""
        ...

    @property
    def contact_at(self) -> Seconds:
        """The time of the state service's last response, by the monotonic clock."""
        ...

    def mark_contact(self) -> None:
        """Record that the state service has just responded."""
        ...

    def apply_stored_write(self, key: str, value: object, version: int) -> None:
        """Apply a write of this process that is known to have succeeded to the watch cache."""
        ...

    def apply_changed(self) -> None:
        """Notify the planner and the shard schedulers of records that changed in the cache."""
        ...

    async def wait_until_current(self) -> Seconds:
        """Return once the watch cache contains every change made before this call.

        Returns:
            When the changes were requested from the state service, by the monotonic clock.

        Raises:
            RequestRefusedError: the changes could not be read.
        """
        ...
