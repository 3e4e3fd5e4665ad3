"""What has changed since the statuses that the leader was sent."""

from __future__ import annotations

from dapplewick.protocol.peers import GangStatus
from dapplewick.types import JobId, MachineId


class ChangeLog:
    """The number of the status in which each machine, job and gang changed last.

    A status tells all that changed after a number that the leader has confirmed, so one that
    is lost costs nothing: the next starts from the same number.
    """

    def __init__(self) -> None:
        self.status_number = 1
        self.dirty = True  # whether anything happened that the leader should hear of soon
        self.machines: dict[MachineId, int] = {}
        self.jobs: dict[JobId, int] = {}
        self.gangs: dict[JobId, int] = {}
        self.gang_statuses: dict[JobId, GangStatus] = {}  # as they were told last

    def record_machine(self, machine_id: MachineId) -> None:
        """Note a change of a machine, of its record or of what is on it."""
        self.machines[machine_id] = self.status_number

    def record_job(self, job_id: JobId) -> None:
        """Note a change of a job's array tasks."""
        self.jobs[job_id] = self.status_number

    def record_gang(self, job_id: JobId) -> None:
        """Note a change of a gang's status."""
        self.gangs[job_id] = self.status_number
