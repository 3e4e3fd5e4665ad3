"""The cloud's interface on the wire: the catalogue, provisioning, deletion and the machine list."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.types import (
    MachineId,
    Resources,
)


class MachineType(msgspec.Struct):
    """A type of machine, as the cloud offers it."""

    name: str = msgspec.field(name="sku")
    cpus: float = 0.0
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    ram_gb: float = msgspec.field(name="ram_gb", default=0.0)
    fetch_rate: float = msgspec.field(name="fetch_gb_per_s", default=0.1)
    price: float = msgspec.field(name="hourly", default=1.0)
    spot_price: float = msgspec.field(name="low_price", default=1.0)
    boot_s: float = msgspec.field(name="ready_s", default=60.0)
    zones: list[str] = msgspec.field(name="yards", default_factory=list)

    @property
    def resources(self) -> Resources:
        return Resources(self.cpus, self.gpus, self.ram_gb)


class _Catalog(msgspec.Struct):
    builds: list[MachineType]


class _ProvisionedMachines(msgspec.Struct):
    looms: list[str]


class ListedMachine(msgspec.Struct):
    machine: str = msgspec.field(name="name_id")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="borrowed")
    state: str = msgspec.field(name="stage")
    age: float = msgspec.field(name="held_s")
    address: str = msgspec.field(name="endpoint", default="")


class MachineList(msgspec.Struct):
    machines: list[ListedMachine] = msgspec.field(name="looms")
    more: bool = False


def parse_catalog(raw: bytes) -> list[MachineType]:
    return msgspec.json.decode(raw, type=_Catalog).builds


def decode_machine_types(value: Any) -> list[MachineType]:
    return msgspec.convert(value, type=list[MachineType])


def encode_machine_types(types: list[MachineType]) -> Any:
    return msgspec.to_builtins(types)


def encode_provisioning_request(
    request: str, type_: str, zone: str, spot: bool, count: int
) -> bytes:
    return msgspec.json.encode(
        {"booking": request, "build": type_, "yard": zone, "borrowed": spot, "how_many": count}
    )


def parse_provisioned_machines(raw: bytes) -> list[MachineId]:
    return [MachineId(m) for m in msgspec.json.decode(raw, type=_ProvisionedMachines).looms]


def encode_deletion_request(machines: list[MachineId]) -> bytes:
    return msgspec.json.encode({"looms": machines})


def parse_machine_list(raw: bytes) -> MachineList:
    return msgspec.json.decode(raw, type=MachineList)
