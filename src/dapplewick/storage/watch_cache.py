"""The watch cache: each controller's copy of all records, kept up to date by watches."""

from __future__ import annotations

import logging
from bisect import bisect_right, insort
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from dapplewick.protocol.cloud import MachineType, decode_machine_types
from dapplewick.protocol.state_service import Event
from dapplewick.storage.controller_records import ControllerRecord, LeaderRecord, ShardRecord
from dapplewick.storage.formats import FIRST_FORMAT, FORMAT_NOW, FormatRecord
from dapplewick.storage.job_records import (
    CANCELLED,
    DONE,
    OPEN,
    Chunk,
    GangPlacementPart,
    JobRecord,
)
from dapplewick.storage.keys import (
    CHUNKS,
    CONTROLLERS,
    FORMAT,
    GANG_PLACEMENTS,
    JOBS,
    LEADER,
    MACHINES,
    PARTITION_PLAN,
    PROVISIONING_REQUESTS,
    ROOT,
    SHARDS,
    TRANSFERS,
    TYPE_KEYS,
    TYPES,
    job_of,
    split_numbered_key,
)
from dapplewick.storage.machine_records import (
    MachineGroupRecord,
    MachineRecord,
    ProvisioningRequest,
)
from dapplewick.storage.transfers import TransferRecord, Transfers
from dapplewick.types import (
    ControllerName,
    FencingToken,
    JobId,
    MachineId,
    Revision,
    ShardName,
    TransferId,
)

log = logging.getLogger("dapplewick.records")


REMOVALS_LEAST = 500  # removed keys that are remembered before any of them is dropped


class WatchCache:
    """A copy of all records, brought up to date by changes in any order or repeated."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.versions: dict[str, int] = {}
        self.jobs: dict[JobId, JobRecord] = {}
        self.machines: dict[MachineId, MachineRecord] = {}
        self.groups: dict[str, MachineGroupRecord] = {}
        self.group_of: dict[MachineId, str] = {}
        self._groups_listing: dict[MachineId, set[str]] = {}
        self._group_versions: dict[str, int] = {}
        self.shards: dict[ShardName, ShardRecord] = {}
        self.transfers = Transfers()
        self.partition_plan: Any = None  # as it was stored: the shares' package reads it
        self.controllers: dict[ControllerName, ControllerRecord] = {}
        self.provisioning_requests: dict[str, ProvisioningRequest] = {}
        self.format = FIRST_FORMAT
        # The format that each controller understood when it was last seen.
        self.understood: dict[ControllerName, int] = {}
        self._mains: dict[JobId, JobRecord] = {}  # records as written, of jobs with more keys
        self.chunks: dict[JobId, dict[int, Chunk]] = {}
        self.placements: dict[JobId, dict[int, GangPlacementPart]] = {}
        self._main_types: dict[str, MachineType] = {}
        self._key_types: dict[str, MachineType] = {}
        self.leader: LeaderRecord | None = None
        self.types: dict[str, MachineType] = {}
        self.live_jobs: dict[JobId, None] = {}  # in the order in which they came
        self.changed_machines: list[MachineId] = []  # taken by whoever tells the cores
        # Removals that are newer than the revision that was read, by the version of each.
        self._removals: dict[str, int] = {}
        self._removals_most = REMOVALS_LEAST
        self.unreadable: dict[str, int] = {}  # keys whose newest value can't be parsed
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

    def follow(self, events: Iterable[Event], revision: int) -> None:
        """Take over an answer to a watch. Answers may overtake one another: what one tells up to
        the revision that was read already is passed over, since a newer removal may be forgotten
        here by then."""
        read = self.revision
        for event in events:
            if event.version <= read:
                continue
            if event.put is not None:
                self.put(event.put, event.value, event.version)
            elif event.delete is not None:
                self.remove(event.delete, event.version)
        self.revision = Revision(max(self.revision, revision))

    def put(self, key: str, value: Any, version: int) -> None:
        """Take over a key's value, unless something newer is known of the key."""
        if self._known_version(key) >= version:
            return
        try:
            self._store(key, value, version)
        except (msgspec.ValidationError, ValueError, TypeError) as err:
            # The record before it stands, but is not the newest: users are not told of it.
            log.error("event=record_malformed key=%s error=%s", key, err)
            self.unreadable[key] = version
            return
        self.unreadable.pop(key, None)
        self.versions[key] = version
        for listener in self.listeners:
            listener(key)

    def _known_version(self, key: str) -> int:
        """The newest version up to which this key is known here.

        All up to the revision that was read is known, so a key that is not here was not there
        at that revision. Without this a write of our own, known done only after a listing that
        lacks its key, brought the removed key back for good.
        """
        there = max(self.versions.get(key, 0), self.unreadable.get(key, 0))
        if there:
            return there
        return max(self._removals.get(key, 0), self.revision)

    def remove(self, key: str, version: int) -> None:
        """Take over a key's removal, unless a newer value is known."""
        if max(self.versions.get(key, 0), self.unreadable.get(key, 0)) > version:
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
            self._mains[JobId(name)] = job
            self._join(JobId(name))
        elif key.startswith(CHUNKS):
            job_id, number = split_numbered_key(name)
            self.chunks.setdefault(job_id, {})[number] = Chunk(value, version)
            self._join(job_id)
        elif key.startswith(GANG_PLACEMENTS):
            job_id, number = split_numbered_key(name)
            shares = self.placements.setdefault(job_id, {})
            shares[number] = msgspec.convert(value, type=GangPlacementPart)
            self._join(job_id)
        elif key.startswith(MACHINES):
            self._set_group(name, msgspec.convert(value, type=MachineGroupRecord), version)
        elif key.startswith(SHARDS):
            self.shards[ShardName(name)] = msgspec.convert(value, type=ShardRecord)
        elif key.startswith(CONTROLLERS):
            controller = self.controllers[ControllerName(name)] = msgspec.convert(
                value, type=ControllerRecord
            )
            self.understood[ControllerName(name)] = controller.version
        elif key == FORMAT:
            self.format = max(self.format, msgspec.convert(value, type=FormatRecord).version)
        elif key.startswith(PROVISIONING_REQUESTS):
            self.provisioning_requests[name] = msgspec.convert(value, type=ProvisioningRequest)
        elif key.startswith(TRANSFERS):
            record = msgspec.convert(value, type=TransferRecord)
            self.changed_machines += self.transfers.put(TransferId(name), record)
        elif key == PARTITION_PLAN:
            self.partition_plan = value
        elif key == LEADER:
            self.leader = msgspec.convert(value, type=LeaderRecord)
        elif key == TYPES:
            self._main_types = {t.name: t for t in decode_machine_types(value)}
            self.types = self._main_types | self._key_types
        elif key.startswith(TYPE_KEYS):
            for kind in decode_machine_types([value]):
                self._key_types[name] = kind
            self.types = self._main_types | self._key_types

    def _join(self, job_id: JobId) -> None:
        """Put a job together of its keys, in whatever order they changed."""
        main = self._mains.get(job_id)
        if main is None:
            return
        shares = self.chunks.get(job_id, {}) if main.chunk_size else {}
        job = main
        if main.chunk_size or (main.gang is not None and main.gang.placement_keys):
            job = main.copy()
        if main.chunk_size:
            job.done, job.assignments = set(), {}
            job.chunk_versions = {n: chunk.version for n, chunk in shares.items()}
            for chunk in shares.values():
                job.version = Revision(max(job.version, chunk.version))
                if job.stage == OPEN:
                    job.done |= chunk.done
                if job.stage != DONE:
                    for zone, tasks in chunk.assignments.items():
                        job.assignments.setdefault(zone, set()).update(tasks)
        if main.gang is not None and main.gang.placement_keys:
            read = self.placements.get(job_id, {})
            placements: list[tuple[str, str]] = []
            for number in range(main.gang.placement_keys):
                share = read.get(number)
                if share is not None and share.attempt == main.gang.attempt:
                    placements += share.placements
            job.gang = msgspec.structs.replace(main.gang, placements=placements)
        self.jobs[job_id] = job
        if (
            job.open
            or job.assignments
            or job.gang
            or self.chunks.get(job_id)
            or self.placements.get(job_id)
        ):
            self.live_jobs[job_id] = None
        else:
            self.live_jobs.pop(job_id, None)

    def _set_group(self, name: str, group: MachineGroupRecord | None, version: int = 0) -> None:
        """A group's record has changed, or is gone. A machine may be listed by two groups while
        an oversized one is copied: the newer record counts, in whatever order they are read."""
        old = self.groups.pop(name, None)
        before = old.machines if old is not None else {}
        after = group.machines if group is not None else {}
        moved = (
            old is not None
            and group is not None
            and (old.partition, old.floors) != (group.partition, group.floors)
        )
        if group is not None:
            self.groups[name] = group
            self._group_versions[name] = version
        else:
            self._group_versions.pop(name, None)
        for text in {**before, **after}:
            machine = MachineId(text)
            same = before.get(text) == after.get(text) and not moved
            if same and self.group_of.get(machine) == name:
                continue
            listing = self._groups_listing.setdefault(machine, set())
            if text in after:
                listing.add(name)
            else:
                listing.discard(name)
            self._resolve_machine(machine, listing)

    def _resolve_machine(self, machine: MachineId, listing: set[str]) -> None:
        """Take over what the newest group that lists a machine says of it."""
        if not listing:
            del self._groups_listing[machine]
            self.group_of.pop(machine, None)
            record = None
        else:
            newest = max(listing, key=self._group_versions.__getitem__)
            self.group_of[machine] = newest
            record = self.groups[newest].record(machine)
        if record == self.machines.get(machine):
            return
        if record is None:
            del self.machines[machine]
        else:
            self.machines[machine] = record
        self.changed_machines.append(machine)

    def _remove(self, key: str, version: int) -> None:
        self.versions.pop(key, None)
        self.unreadable.pop(key, None)
        if version > self.revision:
            self._removals[key] = version
            if len(self._removals) > self._removals_most:
                self._forget_removals()
        name = key[len(ROOT) + 2 :]
        if key.startswith(JOBS):
            self.jobs.pop(JobId(name), None)
            self._mains.pop(JobId(name), None)
            self.live_jobs.pop(JobId(name), None)
        elif (job := job_of(key)) is not None:
            job_id, number = job, int(name.rpartition("/")[2])
            shares: dict[JobId, dict[int, Any]] = (
                self.chunks if key.startswith(CHUNKS) else self.placements
            )
            left = shares.get(job_id, {})
            left.pop(number, None)
            if not left:
                shares.pop(job_id, None)
            self._join(job_id)
        elif key.startswith(TYPE_KEYS):
            self._key_types.pop(name, None)
            self.types = self._main_types | self._key_types
        elif key.startswith(MACHINES):
            self._set_group(name, None)
        elif key.startswith(SHARDS):
            self.shards.pop(ShardName(name), None)
        elif key.startswith(CONTROLLERS):
            self.controllers.pop(ControllerName(name), None)
        elif key.startswith(PROVISIONING_REQUESTS):
            self.provisioning_requests.pop(name, None)
        elif key.startswith(TRANSFERS):
            self.changed_machines += self.transfers.remove(TransferId(name))
        elif key == LEADER:
            self.leader = None
        for listener in self.listeners:
            listener(key)

    def _forget_removals(self) -> None:
        """Drop removals up to the revision that was read: their keys are known not to be there."""
        self._removals = {key: v for key, v in self._removals.items() if v > self.revision}
        self._removals_most = max(REMOVALS_LEAST, 2 * len(self._removals))

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
        main = self._mains[job_id].copy()
        main.stage = CANCELLED
        self._mains[job_id] = main
        self._join(job_id)
        insort(self._cancellations, (version, job_id))
        for listener in self.listeners:
            listener(JOBS + job_id)

    def version(self, key: str) -> int:
        return self.versions.get(key, 0)

    @property
    def upgraded_controllers(self) -> set[ControllerName]:
        """Controllers that were seen with a version that understands all of ours."""
        return {name for name, version in self.understood.items() if version >= FORMAT_NOW}

    def in_one_group(self, machine: MachineId) -> bool:
        """Whether just one group lists a machine: two do while an oversized one is copied."""
        return len(self._groups_listing.get(machine, ())) == 1

    def shard_of(self, machine: MachineId, zone: str) -> ShardName:
        """The part that schedules a machine; the zone's own for one that is not known here."""
        record = self.machines.get(machine)
        return record.shard if record is not None else ShardName(zone)

    def token_for(self, machine: MachineId, shard_token: FencingToken) -> FencingToken:
        """The token that commands to a machine's worker carry, from the owner of its part."""
        record = self.machines.get(machine)
        return FencingToken(max(shard_token, record.floor)) if record is not None else shard_token

    def each_live(self) -> Iterator[tuple[JobId, JobRecord]]:
        for job_id in self.live_jobs:
            yield job_id, self.jobs[job_id]
