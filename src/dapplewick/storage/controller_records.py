"""Records of controllers: presence, leadership and ownership of shards."""

from __future__ import annotations

import msgspec

from dapplewick.storage.formats import FIRST_FORMAT


class ShardRecord(msgspec.Struct):
    """The controller that owns a shard, and its incarnation.

    The version of the record is the owner's fencing token.
    """

    owner: str
    incarnation: str = msgspec.field(name="boot")


class ControllerRecord(msgspec.Struct):
    """A present controller. The record is attached to its lease and is removed with it."""

    incarnation: str = msgspec.field(name="boot")
    zone: str
    version: int = FIRST_FORMAT  # the newest format that this controller supports


class LeaderRecord(msgspec.Struct):
    """The controller that leads, and its incarnation.

    The version of the record is the epoch. Every write of the leader is conditional on it.
    """

    controller: str = msgspec.field(name="node")
    incarnation: str = msgspec.field(name="boot")
