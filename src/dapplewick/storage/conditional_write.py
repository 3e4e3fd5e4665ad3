"""A write that holds only if the records are still as they were read."""

from __future__ import annotations

from typing import Any, NamedTuple


class ConditionalWrite(NamedTuple):
    """A record to write (or remove, without a value) if it still has this version."""

    key: str
    value: Any
    version: int
    priority: int  # lower ones are written first
    preconditions: tuple[
        tuple[str, int], ...
    ] = ()  # other keys that must still have these versions
    transaction_group: str = ""  # changes in a row with the same text go into one transaction
