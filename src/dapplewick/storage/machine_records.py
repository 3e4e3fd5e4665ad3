"""Records of machines and of requests for more of them."""

from __future__ import annotations

import msgspec

from dapplewick.types import (
    ShardName,
    shard_name,
)


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """A machine, as its group's record tells it. `up`: its worker was heard, so launches there
    are allowed from now on (one that is doomed counts as up: it may have been). `terminating`: its
    deletion is decided and is never taken back."""

    type: str
    zone: str
    spot: bool
    at: float
    up: bool = False
    terminating: bool = False
    partition: str = ""
    floor: int = 0  # commands to its worker carry at least this token

    @property
    def shard(self) -> ShardName:
        """The part that schedules this machine."""
        return shard_name(self.zone, self.partition)


BOOTING, UP, TERMINATING = "b", "u", "d"


class MachineGroupRecord(msgspec.Struct, omit_defaults=True):
    """Machines of one kind in one zone, in one record: a write for each change of each machine
    would use up the state service's budget while hundreds of them come up. The text of each is
    its state, and for one that boots the time of its rental after it.

    `share` is the share of the zone that they belong to. `floors` has, for machines that came from
    another share, the least token for their workers: more than any holder before has used."""

    type: str
    zone: str
    spot: bool
    machines: dict[str, str]
    partition: str = msgspec.field(name="share", default="")
    floors: dict[str, int] = msgspec.field(name="floors", default_factory=dict)

    def without(self, machine: str) -> MachineGroupRecord:
        """The group after a machine has left it."""
        return msgspec.structs.replace(
            self,
            machines={m: text for m, text in self.machines.items() if m != machine},
            floors={m: floor for m, floor in self.floors.items() if m != machine},
        )

    def record(self, machine: str) -> MachineRecord:
        text = self.machines[machine]
        state = text[:1]
        return MachineRecord(
            type=self.type,
            zone=self.zone,
            spot=self.spot,
            at=float(text[1:] or 0),
            up=state != BOOTING,
            terminating=state == TERMINATING,
            partition=self.partition,
            floor=self.floors.get(machine, 0),
        )


class ProvisioningRequest(msgspec.Struct):
    type: str
    zone: str
    spot: bool
    count: int
    at: float = msgspec.field(name="at")
