"""The keys of the records in the state service."""

from __future__ import annotations

from dapplewick.types import JobId

ROOT = "dw/"
PREFIX_LENGTH = len(ROOT) + 2  # of a prefix that names a family of records: "dw/j/"
FORMAT = ROOT + "format"
CHUNKS = ROOT + "d/"  # an array's done and assigned tasks, in pieces
GANG_PLACEMENTS = ROOT + "g/"  # the placement of a long gang, in pieces
TYPE_KEYS = ROOT + "t/"  # types, where they are too many for one value
LEADER = ROOT + "leader"
TYPES = ROOT + "types"
JOBS = ROOT + "j/"
MACHINES = ROOT + "m/"
SHARDS = ROOT + "p/"
CONTROLLERS = ROOT + "n/"
PROVISIONING_REQUESTS = ROOT + "b/"
PARTITION_PLAN = ROOT + "shares"  # the operators' plan of partitions, if they have stored one
TRANSFERS = ROOT + "s/"  # machines that change from one partition to another


def job_of(key: str) -> JobId | None:
    """The job that a key tells something of; None for keys of other kinds."""
    if key.startswith(JOBS):
        return JobId(key[len(JOBS) :])
    if key.startswith((CHUNKS, GANG_PLACEMENTS)):
        job, _, number = key[len(CHUNKS) :].rpartition("/")
        return JobId(job) if number.isdigit() else None
    return None


def split_numbered_key(name: str) -> tuple[JobId, int]:
    """The job that a numbered key belongs to, and the number.

    Raises:
        ValueError: the name has no number.
    """
    job, _, number = name.rpartition("/")
    return JobId(job), int(number)
