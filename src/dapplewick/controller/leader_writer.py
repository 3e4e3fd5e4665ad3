"""Writes the changes of a planning pass within the write budget and the size limits."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from dapplewick.controller.record_limits import RecordLimits
from dapplewick.coordination.election import Election
from dapplewick.coordination.leadership import Leadership
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.errors import ValueTooLargeError
from dapplewick.storage.rate_limiter import RateLimiter
from dapplewick.storage.transactions import first_whole_groups, split_into_transactions
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import FencingToken, Seconds

log = logging.getLogger(__name__)

# Share of one second's writes that PROGRESS writes leave to writes of higher priority.
URGENT_WRITE_RESERVE = 0.3


class LeaderWriter:
    """Writes the changes of planning passes and notifies the planner of stored ones."""

    def __init__(
        self,
        election: Election,
        leadership: Leadership,
        write_budget: RateLimiter,
        limits: RecordLimits,
    ) -> None:
        self._election = election
        self._leadership = leadership
        self._write_budget = write_budget
        self._limits = limits

    async def write(
        self, epoch: FencingToken, now: Seconds, changes: list[ConditionalWrite]
    ) -> None:
        """Write as many of a pass's changes as the budget allows.

        Raises:
            TransactionConflictError: the epoch or a record has changed.
            OutcomeUnknownError: a write may have been applied, or may still be applied later.
            RequestRefusedError: a write was not applied.
        """
        for batch in split_into_transactions(
            self._within_budget(changes),
            lambda change: encoded_size(change.value),
            self._limits.current(),
        ):
            await self._write_batch(epoch, now, batch)

    def _within_budget(self, changes: list[ConditionalWrite]) -> list[ConditionalWrite]:
        """Drop the changes that exceed the write budget.

        The next pass produces them again, or newer changes that replace them.
        """
        available = self._write_budget.available()
        # Writes that users wait for or that end tasks have precedence over progress records, which
        # serve only a restart.
        urgent_count = sum(change.priority < WritePriority.PROGRESS for change in changes)
        limit_with_reserve = int(available - URGENT_WRITE_RESERVE * self._write_budget.rate_per_s)
        limit = min(int(available), max(urgent_count, limit_with_reserve))
        if limit >= len(changes):
            return changes
        log.debug("event=writes_deferred count=%d", len(changes) - limit)
        return first_whole_groups(changes, limit)

    async def _write_batch(
        self, epoch: FencingToken, now: Seconds, batch: Sequence[ConditionalWrite]
    ) -> None:
        """Write a batch as one transaction.

        If the state service rejects it for its size, each change is written in a transaction of its
        own, so that one that is too large does not block the others. A batch with a transaction
        group must stay atomic and is dropped.
        """
        try:
            await self._election.write(epoch, batch)
        except ValueTooLargeError:
            has_transaction_group = any(change.transaction_group for change in batch)
            if len(batch) == 1 or has_transaction_group:
                log.error("event=value_rejected key=%s", batch[0].key)
                return
            for change in batch:
                await self._write_batch(epoch, now, [change])
            return
        if self._leadership.planner is not None:
            self._leadership.planner.record_writes(now, batch)
