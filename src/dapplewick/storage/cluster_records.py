"""Smaller records of the watch cache: machine types, controllers, leader, format and plan."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from dapplewick.protocol.cloud import MachineType, decode_machine_types
from dapplewick.storage.controller_records import ControllerRecord, LeaderRecord
from dapplewick.storage.formats import CURRENT_FORMAT, FIRST_FORMAT, FormatRecord
from dapplewick.types import ControllerName

Name = TypeVar("Name", bound=str)
Record = TypeVar("Record", bound=msgspec.Struct)


class RecordTable(Generic[Name, Record]):
    """Records of one kind with one key each, by the name that follows the key's prefix."""

    def __init__(self, record_type: type[Record], as_name: Callable[[str], Name]) -> None:
        self.records: dict[Name, Record] = {}
        self._record_type = record_type
        self._as_name = as_name

    def put(self, name: str, value: Any, _version: int) -> None:
        """Store a record."""
        self.records[self._as_name(name)] = msgspec.convert(value, type=self._record_type)

    def remove(self, name: str) -> None:
        """Remove a record."""
        self.records.pop(self._as_name(name), None)


class ControllerTable:
    """The presence records of controllers, and the newest format that each supports.

    Attributes:
        present: the records of controllers whose lease is valid.
        supported_formats: the newest format that each controller supported when it was last
            present.
    """

    def __init__(self) -> None:
        self.present: dict[ControllerName, ControllerRecord] = {}
        self.supported_formats: dict[ControllerName, int] = {}

    def put(self, name: str, value: Any, _version: int) -> None:
        """Store the record of a present controller."""
        record = msgspec.convert(value, type=ControllerRecord)
        self.present[ControllerName(name)] = record
        self.supported_formats[ControllerName(name)] = record.version

    def remove(self, name: str) -> None:
        """Remove a controller whose lease has expired or that has left."""
        self.present.pop(ControllerName(name), None)

    def upgraded(self) -> set[ControllerName]:
        """Controllers that supported at least this version's format when they were last present."""
        return {
            name for name, version in self.supported_formats.items() if version >= CURRENT_FORMAT
        }


class MachineTypeTable:
    """The machine types, in one common key or, if they exceed a value's size, one key per type.

    Attributes:
        types: all types by name; a type's own key takes precedence over the common key.
    """

    def __init__(self) -> None:
        self.types: dict[str, MachineType] = {}
        self._common_types: dict[str, MachineType] = {}  # in the common key
        self._keyed_types: dict[str, MachineType] = {}  # with one key per type

    def put_common(self, _name: str, value: Any, _version: int) -> None:
        """Store the types of the common key."""
        self._common_types = {t.name: t for t in decode_machine_types(value)}
        self.types = self._common_types | self._keyed_types

    def put_keyed(self, name: str, value: Any, _version: int) -> None:
        """Store a type that has its own key."""
        for machine_type in decode_machine_types([value]):
            self._keyed_types[name] = machine_type
        self.types = self._common_types | self._keyed_types

    def remove_keyed(self, name: str) -> None:
        """Remove a type whose own key was removed."""
        self._keyed_types.pop(name, None)
        self.types = self._common_types | self._keyed_types


class ClusterRecords:
    """Records that exist once per cluster: the leader, the format and the operators' plan.

    Attributes:
        leader: the leader and its incarnation; None if the cluster has no leader.
        format: the newest format that every controller supports; it never decreases.
        partition_plan: the partition plan as stored; the `partitions` package decodes it.
    """

    def __init__(self) -> None:
        self.leader: LeaderRecord | None = None
        self.format = FIRST_FORMAT
        self.partition_plan: Any = None

    def put_leader(self, _name: str, value: Any, _version: int) -> None:
        """Store the elected leader."""
        self.leader = msgspec.convert(value, type=LeaderRecord)

    def remove_leader(self, _name: str) -> None:
        """Remove the leader, whose lease has expired or which has stepped down."""
        self.leader = None

    def put_format(self, _name: str, value: Any, _version: int) -> None:
        """Raise the format; a lower one is ignored."""
        self.format = max(self.format, msgspec.convert(value, type=FormatRecord).version)

    def put_partition_plan(self, _name: str, value: Any, _version: int) -> None:
        """Store the operators' partition plan."""
        self.partition_plan = value
