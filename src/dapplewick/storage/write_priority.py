"""The order in which the leader's writes are sent to the state service."""

from __future__ import annotations

from enum import IntEnum


class WritePriority(IntEnum):
    """The rank of a write: lower ranks are written first.

    If the writes of a planning pass exceed the write budget of the state service, the last ones
    are not sent. The next pass plans them again.
    """

    URGENT = 0  # ends of jobs and tasks, and evidence that machines are gone
    NORMAL = 1  # visible to users: assignments, gang placements, machines that have booted
    LOW = 2  # cleanup, and deletion of idle machines
    PROGRESS = 3  # completed tasks of open jobs, needed only after a restart
