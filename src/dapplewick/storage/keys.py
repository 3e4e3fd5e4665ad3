"""The keys of the records in the state service."""

from __future__ import annotations

from dapplewick.types import (
    JobId,
)

ROOT = "dw/"
PREFIX_LENGTH = len(ROOT) + 2  # of a prefix that names a family of records: "dw/j/"
FORMAT = ROOT + "format"
CHUNKS = ROOT + "d/"  # shares of an array's done and granted tasks
GANG_PLACEMENTS = ROOT + "g/"  # shares of a long gang's place
TYPE_KEYS = ROOT + "t/"  # types, where they are too many for one value
LEADER = ROOT + "leader"
TYPES = ROOT + "types"
JOBS = ROOT + "j/"
MACHINES = ROOT + "m/"
SHARDS = ROOT + "p/"
CONTROLLERS = ROOT + "n/"
PROVISIONING_REQUESTS = ROOT + "b/"
PARTITION_PLAN = ROOT + "shares"  # the operators' plan of shares, if they have stored one
TRANSFERS = ROOT + "s/"  # machines that change from one share to another


def job_of(key: str) -> JobId | None:
    """The job that a key tells something of."""
    if key.startswith(JOBS):
        return JobId(key[len(JOBS) :])
    if key.startswith((CHUNKS, GANG_PLACEMENTS)):
        job, _, number = key[len(CHUNKS) :].rpartition("/")
        return JobId(job) if number.isdigit() else None
    return None


def split_numbered_key(name: str) -> tuple[JobId, int]:
    """The job, and which share of it; ValueError if the name is no share's."""
    job, _, number = name.rpartition("/")
    return JobId(job), int(number)
