"""Records of machines, machine groups and provisioning requests."""

from __future__ import annotations

import msgspec

from dapplewick.types import ShardName, shard_name


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """A machine, as decoded from its group's record.

    Attributes:
        type: the machine's type.
        zone: the machine's zone.
        spot: whether the cloud may reclaim the machine.
        provisioned_at: when the machine was provisioned, in seconds since the Unix epoch; 0 after
            it has booted.
        up: whether its worker has sent a heartbeat, after which tasks may be launched there. A
            terminating machine counts as up, because it may have been.
        terminating: whether its deletion was decided, which is final.
        partition: its partition of the zone; empty if it belongs to none.
        min_token: the minimum fencing token of commands to its worker.
    """

    type: str
    zone: str
    spot: bool
    provisioned_at: float
    up: bool = False
    terminating: bool = False
    partition: str = ""
    min_token: int = 0

    @property
    def shard(self) -> ShardName:
        """The shard that schedules this machine."""
        return shard_name(self.zone, self.partition)


BOOTING, UP, TERMINATING = "b", "u", "d"  # state letters; the first letter of a machine's entry


class MachineGroupRecord(msgspec.Struct, omit_defaults=True):
    """Machines of the same type, zone and price class, in one record.

    With one record per machine, the writes for hundreds of booting machines would exhaust the
    write budget of the state service.

    Attributes:
        type: the machines' type.
        zone: the machines' zone.
        spot: whether the cloud may reclaim the machines.
        machines: the entry of each machine: its state letter, and for a booting machine also the
            time at which it was provisioned, in seconds since the Unix epoch.
        partition: the machines' partition of the zone; empty if they belong to none.
        min_tokens: the minimum fencing token of commands to machines that were transferred from
            another partition. It exceeds every token that a previous owner has used.
    """

    type: str
    zone: str
    spot: bool
    machines: dict[str, str]
    partition: str = msgspec.field(name="share", default="")
    min_tokens: dict[str, int] = msgspec.field(name="floors", default_factory=dict)

    def without(self, machine: str) -> MachineGroupRecord:
        """Copy the group without one of its machines."""
        return msgspec.structs.replace(
            self,
            machines={m: text for m, text in self.machines.items() if m != machine},
            min_tokens={m: token for m, token in self.min_tokens.items() if m != machine},
        )

    def record(self, machine: str) -> MachineRecord:
        """Decode the record of one of the group's machines.

        Raises:
            ValueError: the provisioning time in the machine's entry is malformed.
        """
        text = self.machines[machine]
        state = text[:1]
        return MachineRecord(
            type=self.type,
            zone=self.zone,
            spot=self.spot,
            provisioned_at=float(text[1:] or 0),
            up=state != BOOTING,
            terminating=state == TERMINATING,
            partition=self.partition,
            min_token=self.min_tokens.get(machine, 0),
        )


class ProvisioningRequest(msgspec.Struct):
    """A request for `count` machines that the cloud has not answered yet.

    `requested_at` is when the record was written, in seconds since the Unix epoch.
    """

    type: str
    zone: str
    spot: bool
    count: int
    requested_at: float = msgspec.field(name="at")
