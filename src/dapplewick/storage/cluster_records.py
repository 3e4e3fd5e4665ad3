"""The smaller records that the watch cache holds: types, controllers, leader and format."""

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
    """Records of one kind, one in a key, by the name that follows the key's prefix."""

    def __init__(self, record_type: type[Record], as_name: Callable[[str], Name]) -> None:
        self.records: dict[Name, Record] = {}
        self._record_type = record_type
        self._as_name = as_name

    def put(self, name: str, value: Any, _version: int) -> None:
        """Take over a record."""
        self.records[self._as_name(name)] = msgspec.convert(value, type=self._record_type)

    def remove(self, name: str) -> None:
        """A record is gone."""
        self.records.pop(self._as_name(name), None)


class ControllerRecords:
    """Controllers that are present, and what each understood when it was last seen.

    Attributes:
        present: the records of controllers whose lease holds.
        supported_formats: the format that each controller understood when it was last seen.
    """

    def __init__(self) -> None:
        self.present: dict[ControllerName, ControllerRecord] = {}
        self.supported_formats: dict[ControllerName, int] = {}

    def put(self, name: str, value: Any, _version: int) -> None:
        """A controller is present."""
        record = msgspec.convert(value, type=ControllerRecord)
        self.present[ControllerName(name)] = record
        self.supported_formats[ControllerName(name)] = record.version

    def remove(self, name: str) -> None:
        """A controller's lease has expired, or it has left."""
        self.present.pop(ControllerName(name), None)

    def upgraded(self) -> set[ControllerName]:
        """Controllers that were seen with a version that understands all of ours."""
        return {
            name for name, version in self.supported_formats.items() if version >= CURRENT_FORMAT
        }


class MachineTypes:
    """The types of machines, in one key or, where they are too many for a value, in several.

    Attributes:
        types: all types by name; those with a key of their own win.
    """

    def __init__(self) -> None:
        self.types: dict[str, MachineType] = {}
        self._common_types: dict[str, MachineType] = {}  # of the one key
        self._keyed_types: dict[str, MachineType] = {}  # with a key of their own

    def put_common(self, _name: str, value: Any, _version: int) -> None:
        """Take over the one key's types."""
        self._common_types = {t.name: t for t in decode_machine_types(value)}
        self.types = self._common_types | self._keyed_types

    def put_keyed(self, name: str, value: Any, _version: int) -> None:
        """Take over a type that has a key of its own."""
        for machine_type in decode_machine_types([value]):
            self._keyed_types[name] = machine_type
        self.types = self._common_types | self._keyed_types

    def remove_keyed(self, name: str) -> None:
        """A type's own key is gone."""
        self._keyed_types.pop(name, None)
        self.types = self._common_types | self._keyed_types


class ClusterRecords:
    """Records of which there is one: the leader, the format and the operators' plan.

    Attributes:
        leader: who leads, and in which incarnation; None if nobody does.
        format: what every controller understands. It never goes back.
        partition_plan: the plan as it was stored: the partitions' package reads it.
    """

    def __init__(self) -> None:
        self.leader: LeaderRecord | None = None
        self.format = FIRST_FORMAT
        self.partition_plan: Any = None

    def put_leader(self, _name: str, value: Any, _version: int) -> None:
        """A controller was elected."""
        self.leader = msgspec.convert(value, type=LeaderRecord)

    def remove_leader(self, _name: str) -> None:
        """The leader's lease has expired, or it has resigned."""
        self.leader = None

    def put_format(self, _name: str, value: Any, _version: int) -> None:
        """The format was raised."""
        self.format = max(self.format, msgspec.convert(value, type=FormatRecord).version)

    def put_partition_plan(self, _name: str, value: Any, _version: int) -> None:
        """The operators have stored a plan."""
        self.partition_plan = value
