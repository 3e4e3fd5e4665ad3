"""Size limits of records and transactions."""

from __future__ import annotations

import msgspec

from dapplewick.config import StateLimits
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.watch_cache import WatchCache


class RecordLimits:
    """The limits of the state service that apply to the record format in use."""

    def __init__(self, limits: StateLimits, cache: WatchCache) -> None:
        self._limits = limits
        self._lowest = limits.lowest()
        self._cache = cache

    def current(self) -> StateLimits:
        """Return the size limits of values and transactions that apply now.

        Controllers of the previous version can't read records that are split into chunks. Until the
        record format is raised, values may therefore be as large as the limit that applied before
        any announced change.
        """
        if self._cache.format >= CURRENT_FORMAT:
            return self._lowest
        return msgspec.structs.replace(self._limits, txn_ops=self._lowest.txn_ops)
