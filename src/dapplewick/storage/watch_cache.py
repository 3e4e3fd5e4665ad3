"""The watch cache: a controller's copy of all records, kept up to date by watches."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from dapplewick.protocol.cloud import MachineType
from dapplewick.protocol.state_service import Event
from dapplewick.storage.cluster_records import (
    ClusterRecords,
    ControllerTable,
    MachineTypeTable,
    RecordTable,
)
from dapplewick.storage.controller_records import LeaderRecord, ShardRecord
from dapplewick.storage.job_assembly import JobTable
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
from dapplewick.storage.machine_groups import MachineGroupTable
from dapplewick.storage.machine_records import ProvisioningRequest
from dapplewick.storage.transfers import TransferKeyHandler, TransferTable
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
    """Handlers of puts (name, value, version) and removals (name) of one kind of keys."""

    put: Callable[[str, Any, int], None]
    remove: Callable[[str], None] | None = None  # None: a removal changes only the version


class WatchCache:
    """A copy of all records, updated by changes that may arrive out of order or repeatedly.

    Separate components own the records. The dictionaries of this class belong to them and must
    only be read.

    Attributes:
        revision: the revision of the state service up to which all changes have been applied.
        versions: the version of each key in the cache.
        unreadable: the version of each key whose newest value can't be decoded.
        jobs: all jobs, each joined from its keys.
        live_jobs: jobs that are open, or that still have assignments, a gang, chunks or
            placements, in the order in which they became live.
        chunks: chunks of arrays, by job and number.
        placements: pieces of the placements of long gangs, by job and number.
        machines: all machines, each as described by the newest group that lists it.
        groups: records of machine groups, by name.
        group_of: the newest group that lists each machine, whose record takes precedence.
        changed_machines: machines that have changed since the planner and the shard schedulers were
            last notified. The notifying code clears this list. It is never replaced, because the
            components append to it.
        shards: the shards with an owner.
        controllers: the present controllers.
        supported_formats: the newest format that each controller supported when it was last
            present.
        provisioning_requests: requests for machines that the cloud has not answered yet.
        machine_types: the machine types, from the common key and from keys per type.
        transfers: transfers of machines between partitions.
        listeners: callbacks that are called with each changed key.
    """

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.listeners: list[Callable[[str], None]] = []
        self.changed_machines: list[MachineId] = []
        self.transfers = TransferTable()
        self._key_versions = KeyVersions()
        self.versions = self._key_versions.versions
        self.unreadable = self._key_versions.unreadable
        self._jobs = JobTable()
        self.jobs = self._jobs.jobs
        self.live_jobs = self._jobs.live_jobs
        self.chunks = self._jobs.chunks
        self.placements = self._jobs.placements
        self._machine_groups = MachineGroupTable(self.changed_machines)
        self.machines = self._machine_groups.machines
        self.groups = self._machine_groups.groups
        self.group_of = self._machine_groups.group_of
        self._controllers = ControllerTable()
        self.controllers = self._controllers.present
        self.supported_formats = self._controllers.supported_formats
        self._shards = RecordTable(ShardRecord, ShardName)
        self.shards = self._shards.records
        self._provisioning_requests = RecordTable(ProvisioningRequest, str)
        self.provisioning_requests = self._provisioning_requests.records
        self.machine_types = MachineTypeTable()
        self._cluster = ClusterRecords()
        self._handlers = self._key_handlers()

    def _key_handlers(self) -> dict[str, _KeyHandlers]:
        """The handlers, by prefix, or by key for records that exist only once."""
        jobs, types, cluster = self._jobs, self.machine_types, self._cluster
        requests = self._provisioning_requests
        transfers = TransferKeyHandler(self.transfers, self.changed_machines)
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
        """Apply a full listing begun at this revision, and remove older keys that it lacks."""
        for key in [k for k, v in self.versions.items() if k not in items and v <= revision]:
            self._remove(key, revision)
        for key, (value, version) in items.items():
            self.put(key, value, version)
        self.revision = Revision(max(self.revision, revision))

    def apply_events(self, events: Iterable[Event], revision: int) -> None:
        """Apply the response to a watch request.

        Responses may arrive out of order. Events up to the revision that has already been read are
        skipped, because a newer removal of the same key may have been pruned by then.

        Args:
            events: the changes in the response.
            revision: the revision up to which the response is complete.
        """
        read_revision = self.revision
        for event in events:
            if event.version <= read_revision:
                continue
            if event.put is not None:
                self.put(event.put, event.value, event.version)
            elif event.delete is not None:
                self.remove(event.delete, event.version)
        self.revision = Revision(max(self.revision, revision))

    def put(self, key: str, value: Any, version: int) -> None:
        """Store a key's value, unless a newer value or removal of the key is known."""
        if self._key_versions.known_version(key, self.revision) >= version:
            return
        try:
            handlers = self._handlers.get(key[:PREFIX_LENGTH]) or self._handlers.get(key)
            if handlers is not None:
                handlers.put(key[PREFIX_LENGTH:], value, version)
        except (msgspec.ValidationError, ValueError, TypeError) as err:
            # The previous record is kept. It is outdated, so users' requests are not answered from
            # it.
            log.error("event=record_malformed key=%s error=%s", key, err)
            self.unreadable[key] = version
            return
        self._key_versions.record_readable(key, version)
        for listener in self.listeners:
            listener(key)

    def remove(self, key: str, version: int) -> None:
        """Remove a key, unless a newer value is known."""
        if self._key_versions.stored_version(key) <= version:
            self._remove(key, version)

    def _remove(self, key: str, version: int) -> None:
        self._key_versions.record_removed(key, version, self.revision)
        handlers = self._handlers.get(key[:PREFIX_LENGTH]) or self._handlers.get(key)
        if handlers is not None and handlers.remove is not None:
            handlers.remove(key[PREFIX_LENGTH:])
        for listener in self.listeners:
            listener(key)

    def cancellations(self, since: int) -> list[tuple[int, JobId]]:
        """List every known cancellation newer than a revision, each with its version."""
        return self._jobs.cancellations.since(since)

    def apply_announced_cancellation(self, job_id: JobId, version: int) -> None:
        """Apply a cancellation that a peer has announced and that may not be in the cache yet."""
        if self.versions.get(JOBS + job_id, 0) >= version:
            return
        if self._jobs.cancel_before_record(job_id, version):
            for listener in self.listeners:
                listener(JOBS + job_id)

    def version(self, key: str) -> int:
        """The version of a key; 0 if the key is not in the cache."""
        return self.versions.get(key, 0)

    @property
    def types(self) -> dict[str, MachineType]:
        """All machine types, by name."""
        return self.machine_types.types

    @property
    def leader(self) -> LeaderRecord | None:
        """The leader and its incarnation; None if the cluster has no leader."""
        return self._cluster.leader

    @property
    def format(self) -> int:
        """The newest format that every controller supports."""
        return self._cluster.format

    @property
    def partition_plan(self) -> Any:
        """The operators' partition plan as stored; None if none is stored."""
        return self._cluster.partition_plan

    @property
    def upgraded_controllers(self) -> set[ControllerName]:
        """Controllers that supported at least this version's format when they were last present."""
        return self._controllers.upgraded()

    def is_in_one_group(self, machine: MachineId) -> bool:
        """Whether exactly one group lists a machine; two do while an oversized group is split."""
        return self._machine_groups.is_in_one_group(machine)

    def shard_of(self, machine: MachineId, zone: str) -> ShardName:
        """The shard that schedules a machine; the zone's default shard for an unknown machine."""
        record = self.machines.get(machine)
        return record.shard if record is not None else ShardName(zone)

    def token_for(self, machine: MachineId, shard_token: FencingToken) -> FencingToken:
        """The fencing token of commands from the shard's owner to a machine's worker."""
        record = self.machines.get(machine)
        return (
            FencingToken(max(shard_token, record.min_token)) if record is not None else shard_token
        )

    def iter_live_jobs(self) -> Iterator[tuple[JobId, JobRecord]]:
        """Iterate over the live jobs and their records, in the order in which they became live."""
        for job_id in self.live_jobs:
            yield job_id, self.jobs[job_id]
