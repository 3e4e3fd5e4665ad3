"""The stored records of the machine types that the cloud offers."""

from __future__ import annotations

from typing import Any, NamedTuple

from dapplewick.protocol.cloud import MachineType, encode_machine_types
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.keys import TYPE_KEYS, TYPES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority


class _StoredProperties(NamedTuple):
    """The properties of a type whose changes are written.

    Price changes are not written, because they are frequent and only the leader uses prices.
    """

    name: str
    cpus: float
    gpus: float
    ram_gb: float
    boot_s: float
    zones: tuple[str, ...]

    @classmethod
    def of(cls, machine_type: MachineType) -> _StoredProperties:
        return cls(
            machine_type.name,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.ram_gb,
            machine_type.boot_s,
            tuple(machine_type.zones),
        )


class MachineTypeWriter:
    """Builds the writes that update the stored machine types to the cloud's catalog.

    Attributes:
        catalog: The catalog that the cloud returned; empty before its first response.
    """

    def __init__(self, cache: WatchCache, value_bytes: int) -> None:
        self._cache = cache
        self._value_bytes = value_bytes
        self.catalog: list[MachineType] = []

    def changes(self) -> list[ConditionalWrite]:
        """The writes that update the stored types; none before the cloud's first response.

        The types are stored in one record, or under one key per type if they exceed the value size
        limit.
        """
        if not self.catalog:
            return []
        stored = self._cache.types
        if {t.name: _StoredProperties.of(t) for t in self.catalog} == {
            t.name: _StoredProperties.of(t) for t in stored.values()
        }:
            return []
        value = encode_machine_types(self.catalog)
        if encoded_size(value) <= self._value_bytes or self._cache.format < CURRENT_FORMAT:
            return [self._write(TYPES, value)]
        changes = [
            self._write(TYPE_KEYS + machine_type.name, item)
            for machine_type, item in zip(self.catalog, value, strict=True)
            if (old := stored.get(machine_type.name)) is None
            or _StoredProperties.of(old) != _StoredProperties.of(machine_type)
        ]
        if self._cache.version(TYPES) and not changes:
            changes.append(self._write(TYPES, []))
        return changes

    def _write(self, key: str, value: Any) -> ConditionalWrite:
        return ConditionalWrite(key, value, self._cache.version(key), WritePriority.URGENT)
