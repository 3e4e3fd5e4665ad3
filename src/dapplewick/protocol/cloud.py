"""The cloud's wire protocol: catalog, provisioning, deletion and machine list."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.types import (
    MachineId,
    Resources,
)


class MachineType(msgspec.Struct):
    """A type of machine that the cloud offers.

    Attributes:
        name: the type's name.
        cpus: number of processors.
        gpus: number of accelerators.
        ram_gb: memory in GB.
        fetch_gb_per_s: rate at which a machine fetches images, in GB/s.
        hourly_price: price of an on-demand machine per hour.
        hourly_spot_price: price of a spot machine per hour.
        boot_s: typical boot time in seconds; actual boot times are 0.6 to 1.5 times as long.
        zones: zones in which the type is offered.
    """

    name: str = msgspec.field(name="sku")
    cpus: float = 0.0
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    ram_gb: float = msgspec.field(name="ram_gb", default=0.0)
    fetch_gb_per_s: float = msgspec.field(name="fetch_gb_per_s", default=0.1)
    hourly_price: float = msgspec.field(name="hourly", default=1.0)
    hourly_spot_price: float = msgspec.field(name="low_price", default=1.0)
    boot_s: float = msgspec.field(name="ready_s", default=60.0)
    zones: list[str] = msgspec.field(name="yards", default_factory=list)

    @property
    def resources(self) -> Resources:
        """The resources of a machine of this type."""
        return Resources(self.cpus, self.gpus, self.ram_gb)


class _Catalog(msgspec.Struct):
    types: list[MachineType] = msgspec.field(name="builds")


class _ProvisionedMachines(msgspec.Struct):
    machines: list[str] = msgspec.field(name="looms")


class ListedMachine(msgspec.Struct):
    """An entry of the machine list; `state` is "booting", "running" or "failed"."""

    machine: str = msgspec.field(name="name_id")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="borrowed")
    state: str = msgspec.field(name="stage")
    age_s: float = msgspec.field(name="held_s")  # since it was provisioned
    address: str = msgspec.field(name="endpoint", default="")


class MachineList(msgspec.Struct):
    """A page of the list of provisioned machines; `more` tells whether further pages follow."""

    machines: list[ListedMachine] = msgspec.field(name="looms")
    more: bool = False


_CATALOG_DECODER = msgspec.json.Decoder(_Catalog)
_PROVISIONED_MACHINES_DECODER = msgspec.json.Decoder(_ProvisionedMachines)
_MACHINE_LIST_DECODER = msgspec.json.Decoder(MachineList)


def parse_catalog(raw: bytes) -> list[MachineType]:
    """Parse the catalog.

    Raises:
        msgspec.MsgspecError: the catalog is malformed. All parsers of this module raise this
            error for malformed input.
    """
    return _CATALOG_DECODER.decode(raw).types


def decode_machine_types(value: Any) -> list[MachineType]:
    """Decode machine types from their stored form.

    Raises:
        msgspec.ValidationError: the types are malformed.
    """
    return msgspec.convert(value, type=list[MachineType])


def encode_machine_types(types: list[MachineType]) -> Any:
    """Encode machine types into their stored form."""
    return msgspec.to_builtins(types)


def encode_provisioning_request(
    request: str, type_: str, zone: str, *, spot: bool, count: int
) -> bytes:
    """Encode a provisioning request.

    The request's name makes it idempotent: repeating a fulfilled request returns the same response.
    """
    return msgspec.json.encode(
        {"booking": request, "build": type_, "yard": zone, "borrowed": spot, "how_many": count}
    )


def parse_provisioned_machines(raw: bytes) -> list[MachineId]:
    """Parse the identifiers of the machines that the cloud provisioned for a request."""
    return [MachineId(m) for m in _PROVISIONED_MACHINES_DECODER.decode(raw).machines]


def encode_deletion_request(machines: list[MachineId]) -> bytes:
    """Encode a request to delete machines."""
    return msgspec.json.encode({"looms": machines})


def parse_machine_list(raw: bytes) -> MachineList:
    """Parse a page of the machine list."""
    return _MACHINE_LIST_DECODER.decode(raw)
