"""Splitting of writes into transactions within the limits of the state service."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby
from typing import TypeVar

from dapplewick.config import StateLimits

log = logging.getLogger(__name__)

# Bytes of values in a transaction. The service accepts 64 KiB, including keys and conditions.
MAX_TRANSACTION_BYTES = 48 * 1024


Change = TypeVar("Change")


def split_into_transactions(
    changes: Iterable[Change], size_of: Callable[[Change], int], limits: StateLimits
) -> Iterator[list[Change]]:
    """Split changes into transactions that the state service accepts.

    Consecutive changes of the same `transaction_group` are written in one transaction. A change or
    group is dropped and logged if it contains a value above the size limit or too many keys,
    because the service would reject every transaction that contains it.

    Args:
        changes: the changes to write, in this order.
        size_of: returns the size of a change's value in bytes.
        limits: the limits of the state service.
    """
    batch: list[Change] = []
    total = 0
    numbered_changes = enumerate(changes)
    for _, members in groupby(
        numbered_changes, key=lambda item: _transaction_group(item[1]) or item[0]
    ):
        unit = [change for _, change in members]
        sizes = [size_of(change) for change in unit]
        if max(sizes) > limits.value_kb * 1024 or len(unit) > limits.txn_ops:
            log.error("event=value_too_large bytes=%d change=%.120r", max(sizes), unit[0])
            continue
        overflows = (
            len(batch) + len(unit) > limits.txn_ops or total + sum(sizes) > MAX_TRANSACTION_BYTES
        )
        if batch and overflows:
            yield batch
            batch, total = [], 0
        batch += unit
        total += sum(sizes)
    if batch:
        yield batch


def first_whole_groups(changes: list[Change], limit: int) -> list[Change]:
    """The first changes up to a limit, without incomplete transaction groups at the end.

    If only one piece of a split machine group were written, the machines of the other pieces would
    be lost.
    """
    if limit >= len(changes):
        return changes
    cut_group = _transaction_group(changes[limit])
    while cut_group and limit > 0 and _transaction_group(changes[limit - 1]) == cut_group:
        limit -= 1
    return changes[:limit]


def _transaction_group(change: object) -> str:
    """The transaction group of a change; empty if it may be written alone."""
    group: str = getattr(change, "transaction_group", "")
    return group
