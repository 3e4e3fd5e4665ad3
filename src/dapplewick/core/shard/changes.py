"""Log of changes for incremental statuses to the leader."""

from __future__ import annotations

from dapplewick.protocol.peers import GangStatus
from dapplewick.types import JobId, MachineId


class ChangeLog:
    """Stores the number of the status in which each machine, job and gang last changed.

    Each status contains all changes after the last status number that the leader has confirmed.
    If a status is lost, the next one therefore contains its changes, too.
    """

    def __init__(self) -> None:
        self.status_number = 1
        self.dirty = True  # whether a change should be reported to the leader soon
        self.machines: dict[MachineId, int] = {}
        self.jobs: dict[JobId, int] = {}
        self.gangs: dict[JobId, int] = {}
        self.gang_statuses: dict[JobId, GangStatus] = {}  # as last reported

    def record_machine(self, machine_id: MachineId) -> None:
        """Record a change of a machine's record, tasks or slots."""
        self.machines[machine_id] = self.status_number

    def record_job(self, job_id: JobId) -> None:
        """Record a change of a job's array tasks."""
        self.jobs[job_id] = self.status_number

    def record_gang(self, job_id: JobId) -> None:
        """Record a change of a gang's status."""
        self.gangs[job_id] = self.status_number
