"""Records of machines and of requests for more of them."""

from __future__ import annotations

import msgspec

from dapplewick.types import ShardName, shard_name


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """A machine, as its group's record tells it.

    Attributes:
        type: the machine's type.
        zone: where it is.
        spot: whether the cloud may take it away.
        provisioned_at: when it was provisioned, in seconds since the epoch; 0 once it has come up.
        up: a heartbeat came of its worker, so launches there are allowed from now on. One that is
            terminating counts as up: it may have been.
        terminating: its deletion is decided and is never taken back.
        partition: the partition of the zone that it belongs to; empty if there is none.
        min_token: commands to its worker carry at least this fencing token.
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


BOOTING, UP, TERMINATING = "b", "u", "d"  # the first letter of a machine's text in its group


class MachineGroupRecord(msgspec.Struct, omit_defaults=True):
    """Machines of one kind in one zone, in one record.

    A write for each change of each machine would use up the state service's budget while hundreds
    of them come up.

    Attributes:
        type: the machines' type.
        zone: where they are.
        spot: whether the cloud may take them away.
        machines: the state of each machine, and for one that boots the time at which it was
            provisioned after it, in seconds since the epoch.
        partition: the partition of the zone that they belong to; empty if there is none.
        min_tokens: for machines that came from another partition, the least fencing token for their
            workers: more than any owner before has used.
    """

    type: str
    zone: str
    spot: bool
    machines: dict[str, str]
    partition: str = msgspec.field(name="share", default="")
    min_tokens: dict[str, int] = msgspec.field(name="floors", default_factory=dict)

    def without(self, machine: str) -> MachineGroupRecord:
        """The group after a machine has left it."""
        return msgspec.structs.replace(
            self,
            machines={m: text for m, text in self.machines.items() if m != machine},
            min_tokens={m: floor for m, floor in self.min_tokens.items() if m != machine},
        )

    def record(self, machine: str) -> MachineRecord:
        """What the group says of one of its machines.

        Raises:
            ValueError: the time at which it was provisioned cannot be read.
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
    """A request for `count` machines that the cloud has yet to answer.

    `requested_at` is when it was written, in seconds since the epoch.
    """

    type: str
    zone: str
    spot: bool
    count: int
    requested_at: float = msgspec.field(name="at")
