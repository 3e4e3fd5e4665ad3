"""How large records and transactions may be now."""

from __future__ import annotations

import msgspec

from dapplewick.config import StateLimits
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.watch_cache import WatchCache


class RecordLimits:
    """The state service's limits, by the format in which the records are written."""

    def __init__(self, limits: StateLimits, cache: WatchCache) -> None:
        self._limits = limits
        self._lowest = limits.lowest()
        self._cache = cache

    def current(self) -> StateLimits:
        """How large values and transactions may be.

        What controllers of the older version read can't be cut, so until the format is raised a
        value may be as large as it was.
        """
        if self._cache.format >= CURRENT_FORMAT:
            return self._lowest
        return msgspec.structs.replace(self._limits, txn_ops=self._lowest.txn_ops)
