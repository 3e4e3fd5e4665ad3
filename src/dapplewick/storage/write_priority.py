"""The order in which the leader's writes go to the state service."""

from __future__ import annotations

from enum import IntEnum


class WritePriority(IntEnum):
    """The rank of a write: lower ones are written first.

    The request budget of the state service may cut off the end of a pass's writes; what was cut
    off is found again by the next pass.
    """

    URGENT = 0  # what ends jobs and tasks, or proves that machines are gone
    NORMAL = 1  # what users wait for: assignments, gang placements, machines that came up
    LOW = 2  # what only tidies up, and machines that go back because they are idle
    PROGRESS = 3  # completed tasks of unfinished jobs, which are kept only for a restart
