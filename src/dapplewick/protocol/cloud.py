"""The cloud's interface on the wire: the catalogue, provisioning, deletion and the machine list."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.types import (
    MachineId,
    Resources,
)


class MachineType(msgspec.Struct):
    """A type of machine, as the cloud offers it.

    Attributes:
        name: the type's name.
        cpus: processors.
        gpus: accelerators.
        ram_gb: memory in GB.
        fetch_rate: how fast a machine fetches images, in GB/s.
        price: of a machine for an hour.
        spot_price: of a spot machine for an hour.
        boot_s: seconds that a machine usually takes to come up, times 0.6 to 1.5.
        zones: where the type is offered.
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
        """What a machine of this type has."""
        return Resources(self.cpus, self.gpus, self.ram_gb)


class _Catalog(msgspec.Struct):
    builds: list[MachineType]


class _ProvisionedMachines(msgspec.Struct):
    looms: list[str]


class ListedMachine(msgspec.Struct):
    """A machine as the cloud lists it; `state` is "booting", "running" or "failed"."""

    machine: str = msgspec.field(name="name_id")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="borrowed")
    state: str = msgspec.field(name="stage")
    age_s: float = msgspec.field(name="held_s")  # in seconds
    address: str = msgspec.field(name="endpoint", default="")


class MachineList(msgspec.Struct):
    """A page of the machines that are provisioned, and whether more follow."""

    machines: list[ListedMachine] = msgspec.field(name="looms")
    more: bool = False


_CATALOG_DECODER = msgspec.json.Decoder(_Catalog)
_PROVISIONED_MACHINES_DECODER = msgspec.json.Decoder(_ProvisionedMachines)
_MACHINE_LIST_DECODER = msgspec.json.Decoder(MachineList)


def parse_catalog(raw: bytes) -> list[MachineType]:
    """Read the catalogue.

    Raises:
        msgspec.MsgspecError: it is malformed; so with all parsers here.
    """
    return _CATALOG_DECODER.decode(raw).builds


def decode_machine_types(value: Any) -> list[MachineType]:
    """Read types as they are stored.

    Raises:
        msgspec.ValidationError: they are malformed.
    """
    return msgspec.convert(value, type=list[MachineType])


def encode_machine_types(types: list[MachineType]) -> Any:
    """Types as they are stored."""
    return msgspec.to_builtins(types)


def encode_provisioning_request(
    request: str, type_: str, zone: str, *, spot: bool, count: int
) -> bytes:
    """A request for machines; one that was fulfilled gets the same answer when it is repeated."""
    return msgspec.json.encode(
        {"booking": request, "build": type_, "yard": zone, "borrowed": spot, "how_many": count}
    )


def parse_provisioned_machines(raw: bytes) -> list[MachineId]:
    """Read which machines the cloud has provisioned for a request."""
    return [MachineId(m) for m in _PROVISIONED_MACHINES_DECODER.decode(raw).looms]


def encode_deletion_request(machines: list[MachineId]) -> bytes:
    """A request to delete machines."""
    return msgspec.json.encode({"looms": machines})


def parse_machine_list(raw: bytes) -> MachineList:
    """Read a page of the machine list."""
    return _MACHINE_LIST_DECODER.decode(raw)
