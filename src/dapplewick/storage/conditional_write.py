"""A write that is applied only if the records have not changed since they were read."""

from __future__ import annotations

from typing import Any, NamedTuple

from dapplewick.storage.write_priority import WritePriority


class Precondition(NamedTuple):
    """Another key that must still have this version; 0 if it must not exist."""

    key: str
    version: int


class ConditionalWrite(NamedTuple):
    """A record to write or remove on condition that its key still has the version that was read.

    Attributes:
        key: The key in the state service.
        value: The record as plain data; None removes the key.
        expected_version: The version that the key must still have; 0 if it must not exist.
        priority: The rank among the writes of one planning pass.
        preconditions: Other keys that must be unchanged as well.
        transaction_group: Consecutive writes with the same group are written in one transaction.
            Empty if this write may be written alone.
    """

    key: str
    value: Any
    expected_version: int
    priority: WritePriority
    preconditions: tuple[Precondition, ...] = ()
    transaction_group: str = ""
