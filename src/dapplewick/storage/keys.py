"""The keys of the records in the state service."""

from __future__ import annotations

from dapplewick.types import JobId

ROOT = "dw/"
PREFIX_LENGTH = len(ROOT) + 2  # of the prefix of a kind of records, such as "dw/j/"
FORMAT = ROOT + "format"
CHUNKS = ROOT + "d/"  # completed and assigned tasks of arrays, in chunks
GANG_PLACEMENTS = ROOT + "g/"  # placements of long gangs, in pieces
TYPE_KEYS = ROOT + "t/"  # machine types with one key each, if they exceed one value
LEADER = ROOT + "leader"
TYPES = ROOT + "types"
JOBS = ROOT + "j/"
MACHINES = ROOT + "m/"
SHARDS = ROOT + "p/"
CONTROLLERS = ROOT + "n/"
PROVISIONING_REQUESTS = ROOT + "b/"
PARTITION_PLAN = ROOT + "shares"  # the operators' partition plan, if stored
TRANSFERS = ROOT + "s/"  # transfers of machines between partitions


def job_of(key: str) -> JobId | None:
    """The job to which a key belongs; None if the key does not belong to a job."""
    if key.startswith(JOBS):
        return JobId(key[len(JOBS) :])
    if key.startswith((CHUNKS, GANG_PLACEMENTS)):
        job, _, number = key[len(CHUNKS) :].rpartition("/")
        return JobId(job) if number.isdigit() else None
    return None


def split_numbered_key(name: str) -> tuple[JobId, int]:
    """The job to which a numbered key belongs, and the number.

    Raises:
        ValueError: the name does not end in a number.
    """
    job, _, number = name.rpartition("/")
    return JobId(job), int(number)
