"""The records kept in the state service, and the mirror of them that each node has."""

from __future__ import annotations

import logging
from bisect import bisect_right, insort
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from dapplewick.protocol.wire import JobSpec, MachineType, parse_types
from dapplewick.storage.ranges import pack, unpack
from dapplewick.types import JobId, MachineId, NodeName, Revision, Zone

log = logging.getLogger("dapplewick.records")

ROOT = "dw/"
LEADER = ROOT + "leader"
TYPES = ROOT + "types"
JOBS = ROOT + "j/"
MACHINES = ROOT + "m/"
PARTS = ROOT + "p/"
NODES = ROOT + "n/"
BOOKINGS = ROOT + "b/"

OPEN, DONE, CANCELLED = "open", "done", "cancelled"


class GangPlace(msgspec.Struct, omit_defaults=True):
    """Where an attempt of a gang is held or runs. `over`: it is to end and be cleared."""

    attempt: int
    places: list[tuple[str, str]]  # (zone, machine) of each task
    over: bool = False
    preempt: bool = False

    def zones(self) -> set[str]:
        return {zone for zone, _ in self.places}


class _RawJob(msgspec.Struct, omit_defaults=True):
    spec: JobSpec
    stage: str
    at: float
    done: str = ""
    grants: dict[str, str] = {}
    gang: GangPlace | None = None


class JobRecord:
    """A job: what was asked, what is done, and who may run what."""

    __slots__ = ("at", "done", "gang", "grants", "size", "spec", "stage", "version")

    def __init__(self, spec: JobSpec, at: float) -> None:
        self.spec = spec
        self.size = spec.size  # of each task
        self.stage = OPEN
        self.at = at
        self.done: set[int] = set()
        self.grants: dict[str, set[int]] = {}
        self.gang: GangPlace | None = None
        self.version = Revision(0)

    def dump(self) -> Any:
        raw = _RawJob(
            spec=self.spec,
            stage=self.stage,
            at=self.at,
            done=pack(self.done) if self.stage == OPEN else "",
            grants={zone: pack(tasks) for zone, tasks in self.grants.items() if tasks},
            gang=self.gang,
        )
        return msgspec.to_builtins(raw)

    @classmethod
    def load(cls, value: Any, version: int) -> JobRecord:
        raw = msgspec.convert(value, type=_RawJob)
        job = cls(raw.spec, raw.at)
        job.stage = raw.stage
        job.done = unpack(raw.done)
        job.grants = {zone: unpack(text) for zone, text in raw.grants.items()}
        job.gang = raw.gang
        job.version = Revision(version)
        return job

    def copy(self) -> JobRecord:
        """A draft of its next version."""
        job = JobRecord(self.spec, self.at)
        job.stage = self.stage
        job.done = set(self.done)
        job.grants = {zone: set(tasks) for zone, tasks in self.grants.items()}
        job.gang = self.gang
        job.version = self.version
        return job

    @property
    def done_count(self) -> int:
        return self.spec.tasks if self.stage == DONE else len(self.done)

    @property
    def open(self) -> bool:
        return self.stage == OPEN

    def granted(self, zone: str) -> set[int]:
        return self.grants.get(zone, set())


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """A machine, as its group's record tells it. `up`: its worker was heard, so launches there
    are allowed from now on (one that is doomed counts as up: it may have been). `doomed`: its
    deletion is decided and is never taken back."""

    type: str
    zone: str
    spot: bool
    at: float
    up: bool = False
    doomed: bool = False


BOOTING, UP, DOOMED = "b", "u", "d"


class GroupRecord(msgspec.Struct):
    """Machines of one kind in one zone, in one record: a write for each change of each machine
    would use up the state service's budget while hundreds of them come up. The text of each is
    its state, and for one that boots the time of its rental after it."""

    type: str
    zone: str
    spot: bool
    machines: dict[str, str]

    def record(self, machine: str) -> MachineRecord:
        text = self.machines[machine]
        state = text[:1]
        return MachineRecord(
            type=self.type, zone=self.zone, spot=self.spot, at=float(text[1:] or 0),
            up=state != BOOTING, doomed=state == DOOMED,
        )  # fmt: skip


class PartRecord(msgspec.Struct):
    owner: str
    boot: str


class NodeRecord(msgspec.Struct):
    boot: str
    zone: str


class LeaderRecord(msgspec.Struct):
    node: str
    boot: str


class BookingRecord(msgspec.Struct):
    type: str
    zone: str
    spot: bool
    count: int
    at: float


class Mirror:
    """A copy of all records, brought up to date by changes in any order or repeated."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.versions: dict[str, int] = {}
        self.jobs: dict[JobId, JobRecord] = {}
        self.machines: dict[MachineId, MachineRecord] = {}
        self.groups: dict[str, GroupRecord] = {}
        self.group_of: dict[MachineId, str] = {}
        self.parts: dict[Zone, PartRecord] = {}
        self.nodes: dict[NodeName, NodeRecord] = {}
        self.bookings: dict[str, BookingRecord] = {}
        self.leader: LeaderRecord | None = None
        self.types: dict[str, MachineType] = {}
        self.live_jobs: dict[JobId, None] = {}  # in the order in which they came
        self.changed_machines: list[MachineId] = []  # taken by whoever tells the cores
        self._gone: dict[str, int] = {}
        self._cancellations: list[tuple[int, JobId]] = []  # in the order of their versions
        self._told_cancelled: dict[JobId, int] = {}  # by peers, before the records came here
        self.listeners: list[Callable[[str], None]] = []

    def reload(self, items: dict[str, tuple[Any, int]], revision: int) -> None:
        """Take over a full listing that was begun at a revision."""
        for key in [k for k, v in self.versions.items() if k not in items and v <= revision]:
            self._remove(key, revision)
        for key, (value, version) in items.items():
            self.put(key, value, version)
        self.revision = Revision(max(self.revision, revision))

    def put(self, key: str, value: Any, version: int) -> None:
        if self.versions.get(key, 0) >= version or self._gone.get(key, 0) >= version:
            return
        try:
            self._store(key, value, version)
        except (msgspec.ValidationError, ValueError, TypeError) as err:
            log.error("event=record_refused key=%s error=%s", key, err)
            return
        self.versions[key] = version
        for listener in self.listeners:
            listener(key)

    def remove(self, key: str, version: int) -> None:
        if self.versions.get(key, 0) > version:
            return
        self._remove(key, version)

    def _store(self, key: str, value: Any, version: int) -> None:
        name = key[len(ROOT) + 2 :]
        if key.startswith(JOBS):
            job = JobRecord.load(value, version)
            if self._told_cancelled.get(JobId(name), 0) > version:
                job.stage = CANCELLED  # an older version came after a peer told of a newer one
            else:
                self._told_cancelled.pop(JobId(name), None)
            before = self.jobs.get(JobId(name))
            if job.stage == CANCELLED and (before is None or before.stage != CANCELLED):
                insort(self._cancellations, (version, JobId(name)))
            self.jobs[JobId(name)] = job
            if job.open or job.grants or job.gang:
                self.live_jobs[JobId(name)] = None
            else:
                self.live_jobs.pop(JobId(name), None)
        elif key.startswith(MACHINES):
            self._set_group(name, msgspec.convert(value, type=GroupRecord))
        elif key.startswith(PARTS):
            self.parts[Zone(name)] = msgspec.convert(value, type=PartRecord)
        elif key.startswith(NODES):
            self.nodes[NodeName(name)] = msgspec.convert(value, type=NodeRecord)
        elif key.startswith(BOOKINGS):
            self.bookings[name] = msgspec.convert(value, type=BookingRecord)
        elif key == LEADER:
            self.leader = msgspec.convert(value, type=LeaderRecord)
        elif key == TYPES:
            self.types = {t.name: t for t in parse_types(value)}

    def _set_group(self, name: str, group: GroupRecord | None) -> None:
        """A group's record has changed; says of each of its machines that is new, different or
        gone."""
        old = self.groups.pop(name, None)
        if group is not None:
            self.groups[name] = group
        before = old.machines if old is not None else {}
        after = group.machines if group is not None else {}
        for machine in [m for m in before if m not in after]:
            if self.group_of.get(MachineId(machine)) == name:
                del self.group_of[MachineId(machine)]
                self.machines.pop(MachineId(machine), None)
        for machine, state in after.items():
            if before.get(machine) != state:
                assert group is not None
                self.machines[MachineId(machine)] = group.record(machine)
                self.group_of[MachineId(machine)] = name
        for machine in {**before, **after}:
            if before.get(machine) != after.get(machine):
                self.changed_machines.append(MachineId(machine))

    def _remove(self, key: str, version: int) -> None:
        self.versions.pop(key, None)
        self._gone[key] = version
        if len(self._gone) > 5000:
            for old in list(self._gone)[:2500]:
                del self._gone[old]
        name = key[len(ROOT) + 2 :]
        if key.startswith(JOBS):
            self.jobs.pop(JobId(name), None)
            self.live_jobs.pop(JobId(name), None)
        elif key.startswith(MACHINES):
            self._set_group(name, None)
        elif key.startswith(PARTS):
            self.parts.pop(Zone(name), None)
        elif key.startswith(NODES):
            self.nodes.pop(NodeName(name), None)
        elif key.startswith(BOOKINGS):
            self.bookings.pop(name, None)
        elif key == LEADER:
            self.leader = None
        for listener in self.listeners:
            listener(key)

    def cancellations(self, since: int) -> list[tuple[int, JobId]]:
        """Every cancellation known here that is newer than a revision, with its version."""
        return self._cancellations[bisect_right(self._cancellations, (since, "\U0010ffff")) :]

    def told_cancelled(self, job_id: JobId, version: int) -> None:
        """A peer that has read it tells of a cancellation. Until its record comes, the one that
        is here counts as cancelled; its version stays, so nothing can be written over it."""
        if self.versions.get(JOBS + job_id, 0) >= version:
            return
        job = self.jobs.get(job_id)
        if self._told_cancelled.get(job_id, 0) >= version:
            return
        self._told_cancelled[job_id] = version
        if job is None or not job.open:
            return
        job = job.copy()
        job.stage = CANCELLED
        self.jobs[job_id] = job
        insort(self._cancellations, (version, job_id))
        for listener in self.listeners:
            listener(JOBS + job_id)

    def version(self, key: str) -> int:
        return self.versions.get(key, 0)

    def each_live(self) -> Iterator[tuple[JobId, JobRecord]]:
        for job_id in self.live_jobs:
            yield job_id, self.jobs[job_id]
