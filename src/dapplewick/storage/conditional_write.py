"""A write that is applied only if the records are still as they were read."""

from __future__ import annotations

from typing import Any, NamedTuple

from dapplewick.storage.write_priority import WritePriority


class Precondition(NamedTuple):
    """Another key that must still have this version; version 0 means that it does not exist."""

    key: str
    version: int


class ConditionalWrite(NamedTuple):
    """A record to write, or to remove, if its key still has the version that was read.

    Attributes:
        key: The key in the state service.
        value: The record as plain data; None removes the key.
        expected_version: The version that the key must still have; 0 if it must not exist.
        priority: Its rank among the writes of a pass.
        preconditions: Other keys that must be unchanged too.
        transaction_group: Writes in a row with the same text here go into one transaction. Empty
            if this write may go alone.
    """

    key: str
    value: Any
    expected_version: int
    priority: WritePriority
    preconditions: tuple[Precondition, ...] = ()
    transaction_group: str = ""
