"""Records of controllers: presence, leadership and the owners of shards."""

from __future__ import annotations

import msgspec

from dapplewick.storage.formats import FIRST_FORMAT


class ShardRecord(msgspec.Struct):
    owner: str
    incarnation: str = msgspec.field(name="boot")


class ControllerRecord(msgspec.Struct):
    incarnation: str = msgspec.field(name="boot")
    zone: str
    version: int = FIRST_FORMAT  # what this controller understands


class LeaderRecord(msgspec.Struct):
    controller: str = msgspec.field(name="node")
    incarnation: str = msgspec.field(name="boot")
