"""The watch cache: each controller's copy of all records, kept up to date by watches."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.state_service import Event
from dapplewick.storage.cluster_records import (
    ClusterRecords,
    ControllerRecords,
    MachineTypes,
    RecordTable,
)
from dapplewick.storage.controller_records import LeaderRecord, ShardRecord
from dapplewick.storage.job_assembly import JobAssembly
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.key_versions import KeyVersions
from dapplewick.storage.keys import (
    CHUNKS,
    CONTROLLERS,
    FORMAT,
    GANG_PLACEMENTS,
    JOBS,
    LEADER,
    MACHINES,
    PARTITION_PLAN,
    PREFIX_LENGTH,
    PROVISIONING_REQUESTS,
    SHARDS,
    TRANSFERS,
    TYPE_KEYS,
    TYPES,
)
from dapplewick.storage.machine_groups import MachineGroups
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.transfers import TransferKeys, Transfers
from dapplewick.types import (
    ControllerName,
    FencingToken,
    JobId,
    MachineId,
    Revision,
    ShardName,
)

log = logging.getLogger(__name__)


class _KeyHandlers(NamedTuple):
    """What takes over the puts (name, value, version) and removals (name) of some keys."""

    put: Callable[[str, Any, int], None]
    remove: Callable[[str], None] | None = None  # None: removals change nothing but versions


class WatchCache:
    """A copy of all records, brought up to date by changes in any order or repeated.

    The records are kept by pieces that own their state; the dictionaries given here are theirs,
    to be read only.

    Attributes:
        revision: all changes up to this revision of the state service are known.
        versions: the version of each key that is here.
        unreadable: keys whose newest value cannot be parsed, with its version.
        jobs: all jobs, put together of their keys.
        live_jobs: jobs that are open or of which something remains, in the order they came.
        chunks: chunks of arrays, by job and number.
        placements: pieces of the placements of long gangs, by job and number.
        machines: all machines, as the newest group that lists them says.
        groups: records of machine groups, by name.
        group_of: the group whose record counts for a machine.
        changed_machines: machines that have changed; cleared by whoever tells the cores. The
            pieces add to this list, so it is never replaced.
        shards: the shards with an owner.
        controllers: the controllers that are present.
        supported_formats: the format that each controller understood when it was last seen.
        provisioning_requests: requests for machines that the cloud has yet to answer.
        machine_types: the types of machines, in one key or several.
        transfers: moves of machines between partitions.
        listeners: called with each key that has changed.
    """

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.listeners: list[Callable[[str], None]] = []
        self.changed_machines: list[MachineId] = []
        self.transfers = Transfers()
        self._key_versions = KeyVersions()
        self.versions = self._key_versions.versions
        self.unreadable = self._key_versions.unreadable
        self._jobs = JobAssembly()
        self.jobs = self._jobs.jobs
        self.live_jobs = self._jobs.live_jobs
        self.chunks = self._jobs.chunks
        self.placements = self._jobs.placements
        self._machine_groups = MachineGroups(self.changed_machines)
        self.machines = self._machine_groups.machines
        self.groups = self._machine_groups.groups
        self.group_of = self._machine_groups.group_of
        self._controllers = ControllerRecords()
        self.controllers = self._controllers.present
        self.supported_formats = self._controllers.supported_formats
        self._shards = RecordTable(ShardRecord, ShardName)
        self.shards = self._shards.records
        self._provisioning_requests = RecordTable(ProvisioningRequest, str)
        self.provisioning_requests = self._provisioning_requests.records
        self.machine_types = MachineTypes()
        self._cluster = ClusterRecords()
        self._handlers = self._key_handlers()

    def _key_handlers(self) -> dict[str, _KeyHandlers]:
        """What takes over changes, by prefix or, where there is one record, by key."""
        jobs, types, cluster = self._jobs, self.machine_types, self._cluster
        requests = self._provisioning_requests
        transfers = TransferKeys(self.transfers, self.changed_machines)
        return {
            JOBS: _KeyHandlers(jobs.put_record, jobs.remove_record),
            CHUNKS: _KeyHandlers(jobs.put_chunk, jobs.remove_chunk),
            GANG_PLACEMENTS: _KeyHandlers(jobs.put_placement, jobs.remove_placement),
            MACHINES: _KeyHandlers(self._machine_groups.put, self._machine_groups.remove),
            SHARDS: _KeyHandlers(self._shards.put, self._shards.remove),
            CONTROLLERS: _KeyHandlers(self._controllers.put, self._controllers.remove),
            PROVISIONING_REQUESTS: _KeyHandlers(requests.put, requests.remove),
            TRANSFERS: _KeyHandlers(transfers.put, transfers.remove),
            TYPE_KEYS: _KeyHandlers(types.put_keyed, types.remove_keyed),
            TYPES: _KeyHandlers(types.put_common),
            LEADER: _KeyHandlers(cluster.put_leader, cluster.remove_leader),
            FORMAT: _KeyHandlers(cluster.put_format),
            PARTITION_PLAN: _KeyHandlers(cluster.put_partition_plan),
        }

    def reload(self, items: Mapping[str, tuple[Any, int]], revision: int) -> None:
        """Take over a full listing that was begun at a revision."""
        for key in [k for k, v in self.versions.items() if k not in items and v <= revision]:
            self._remove(key, revision)
        for key, (value, version) in items.items():
            self.put(key, value, version)
        self.revision = Revision(max(self.revision, revision))

    def apply_events(self, events: Iterable[Event], revision: int) -> None:
        """Take over an answer to a watch.

        Answers may overtake one another: what one tells up to the revision that was read already
        is passed over, since a newer removal may be forgotten here by then.
        """
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
        if self._key_versions.known(key, self.revision) >= version:
            return
        try:
            handlers = self._handlers.get(key[:PREFIX_LENGTH]) or self._handlers.get(key)
            if handlers is not None:
                handlers.put(key[PREFIX_LENGTH:], value, version)
        except (msgspec.ValidationError, ValueError, TypeError) as err:
            # The record before it stands, but is not the newest: users are not told of it.
            log.error("event=record_malformed key=%s error=%s", key, err)
            self.unreadable[key] = version
            return
        self._key_versions.note_readable(key, version)
        for listener in self.listeners:
            listener(key)

    def remove(self, key: str, version: int) -> None:
        """Take over a key's removal, unless a newer value is known."""
        if self._key_versions.stored(key) <= version:
            self._remove(key, version)

    def _remove(self, key: str, version: int) -> None:
        self._key_versions.note_removed(key, version, self.revision)
        handlers = self._handlers.get(key[:PREFIX_LENGTH]) or self._handlers.get(key)
        if handlers is not None and handlers.remove is not None:
            handlers.remove(key[PREFIX_LENGTH:])
        for listener in self.listeners:
            listener(key)

    def cancellations(self, since: int) -> list[tuple[int, JobId]]:
        """Every cancellation known here that is newer than a revision, with its version."""
        return self._jobs.cancellations.since(since)

    def apply_announced_cancellation(self, job_id: JobId, version: int) -> None:
        """A peer that has read it tells of a cancellation, which may not have come here yet."""
        if self.versions.get(JOBS + job_id, 0) >= version:
            return
        if self._jobs.cancel_before_record(job_id, version):
            for listener in self.listeners:
                listener(JOBS + job_id)

    def version(self, key: str) -> int:
        """The version of a key; 0 if it is not here."""
        return self.versions.get(key, 0)

    @property
    def types(self) -> dict[str, MachineType]:
        """All types of machines, by name."""
        return self.machine_types.types

    @property
    def leader(self) -> LeaderRecord | None:
        """Who leads, and in which incarnation; None if nobody does."""
        return self._cluster.leader

    @property
    def format(self) -> int:
        """What every controller understands."""
        return self._cluster.format

    @property
    def partition_plan(self) -> Any:
        """The operators' plan of partitions as it was stored; None if there is none."""
        return self._cluster.partition_plan

    @property
    def upgraded_controllers(self) -> set[ControllerName]:
        """Controllers that were seen with a version that understands all of ours."""
        return self._controllers.upgraded()

    def is_in_one_group(self, machine: MachineId) -> bool:
        """Whether just one group lists a machine: two do while an oversized one is copied."""
        return self._machine_groups.is_in_one_group(machine)

    def shard_of(self, machine: MachineId, zone: str) -> ShardName:
        """The shard that schedules a machine; the zone's own for one that is not known here."""
        record = self.machines.get(machine)
        return record.shard if record is not None else ShardName(zone)

    def token_for(self, machine: MachineId, shard_token: FencingToken) -> FencingToken:
        """The fencing token that commands to a machine's worker carry, from its shard's owner."""
        record = self.machines.get(machine)
        return (
            FencingToken(max(shard_token, record.min_token)) if record is not None else shard_token
        )

    def iter_live_jobs(self) -> Iterator[tuple[JobId, JobRecord]]:
        """Every live job with its record, in the order in which they came."""
        for job_id in self.live_jobs:
            yield job_id, self.jobs[job_id]
