"""Records of controllers: presence, leadership and the owners of shards."""

from __future__ import annotations

import msgspec

from dapplewick.storage.formats import FIRST_FORMAT


class ShardRecord(msgspec.Struct):
    """Which controller owns a shard, and in which incarnation.

    The version of the record is the owner's fencing token.
    """

    owner: str
    incarnation: str = msgspec.field(name="boot")


class ControllerRecord(msgspec.Struct):
    """A controller that is present: the record hangs on its lease."""

    incarnation: str = msgspec.field(name="boot")
    zone: str
    version: int = FIRST_FORMAT  # what this controller understands


class LeaderRecord(msgspec.Struct):
    """Which controller leads, and in which incarnation.

    The version of the record is the epoch on which all that the leader writes is conditional.
    """

    controller: str = msgspec.field(name="node")
    incarnation: str = msgspec.field(name="boot")
