"""Cutting writes into transactions that the state service takes."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby
from typing import TypeVar

from dapplewick.config import StateLimits

log = logging.getLogger(__name__)

# Of values in a transaction, which may hold 64 KiB with all around them.
TRANSACTION_BYTES = 48 * 1024


Change = TypeVar("Change")


def split_into_transactions(
    changes: Iterable[Change], sized: Callable[[Change], int], limits: StateLimits
) -> Iterator[list[Change]]:
    """Cut changes into transactions that the state service takes.

    One whose value is too large by itself is left out: with it every transaction that it came in
    would be refused. Changes in a row that name the same `transaction_group` go into one.

    Args:
        changes: what is to be written, in this order.
        sized: the bytes of a change's value.
        limits: what the state service takes.
    """
    batch: list[Change] = []
    total = 0
    numbered = enumerate(changes)
    for _, run in groupby(numbered, key=lambda item: _group_of(item[1]) or item[0]):
        unit = [change for _, change in run]
        sizes = [sized(change) for change in unit]
        if max(sizes) > limits.value_kb * 1024 or len(unit) > limits.txn_ops:
            log.error("event=value_too_large bytes=%d change=%.120r", max(sizes), unit[0])
            continue
        overflows = (
            len(batch) + len(unit) > limits.txn_ops or total + sum(sizes) > TRANSACTION_BYTES
        )
        if batch and overflows:
            yield batch
            batch, total = [], 0
        batch += unit
        total += sum(sizes)
    if batch:
        yield batch


def first_whole_groups(changes: list[Change], most: int) -> list[Change]:
    """The first changes, at most so many, without part of those that go into one transaction.

    Of a machine group that is split, one piece alone would lose the machines of the others.
    """
    if most >= len(changes):
        return changes
    cut_group = _group_of(changes[most])
    while cut_group and most > 0 and _group_of(changes[most - 1]) == cut_group:
        most -= 1
    return changes[:most]


def _group_of(change: object) -> str:
    """The transaction in which a change must be written with others; empty if it stands alone."""
    group: str = getattr(change, "transaction_group", "")
    return group
