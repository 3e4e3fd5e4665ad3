"""What coordination needs of the controller's copy of the records."""

from __future__ import annotations

from typing import Protocol

from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds


class Records(Protocol):
    """A watch cache, and how it is kept up to date."""

    @property
    def cache(self) -> WatchCache:
        """The copy of the records."""
        ...

    @property
    def ready(self) -> bool:
        """Whether the records were read at least once since this process started."""
        ...

    @property
    def contact_at(self) -> Seconds:
        """When the state service answered last, by the steady clock."""
        ...

    def mark_contact(self) -> None:
        """Note that the state service has answered just now."""
        ...

    def stored(self, key: str, value: object, version: int) -> None:
        """Take over a write of this process that is known to be done."""
        ...

    def apply_changed(self) -> None:
        """Tell the cores of records that have changed in the watch cache."""
        ...

    async def current(self) -> Seconds:
        """Return once the watch cache is known to be as new as when this was called.

        Returns:
            When the changes were asked for, by the steady clock.

        Raises:
            RequestRefusedError: they could not be read.
        """
        ...
