"""The leader: the grid scheduler of waiting gangs, grants of singles to parts, and the fleet.

Each pass looks at the records and the parts' newest statuses and says what to write; what was
not written is simply found again by the next pass.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable, Set
from typing import Any, Protocol

import msgspec

from dapplewick.config import Settings
from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.capacity import GANG_PRIORITY, ShardCapacity, machine_capacity
from dapplewick.core.leader.capacity_requests import CapacityRequestPlanner, Waiting
from dapplewick.core.leader.gang_placement import LONG_RESERVATION_S, place_gang
from dapplewick.core.leader.job_writes import JobWrites
from dapplewick.core.leader.machine_lifecycle import MachineLifecycle, Silence
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.core.leader.provisioner import CapacityRequest, Provisioner
from dapplewick.core.leader.shard_reservation import ShardReservation
from dapplewick.protocol.cloud import MachineList, MachineType, encode_machine_types
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.peers import MachineStatus, ShardStatus
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.formats import FIRST_FORMAT, FORMAT_NOW
from dapplewick.storage.job_records import DONE, GangPlacement, JobRecord
from dapplewick.storage.keys import (
    FORMAT,
    MACHINES,
    PROVISIONING_REQUESTS,
    SHARDS,
    TYPE_KEYS,
    TYPES,
    job_of,
)
from dapplewick.storage.machine_records import MachineRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.tuning import Tuning
from dapplewick.types import (
    IDS_PER_TOKEN,
    ControllerName,
    FencingToken,
    JobId,
    MachineId,
    Resources,
    Seconds,
    ShardName,
    Zone,
    zone_of,
)

log = logging.getLogger("dapplewick.leader")

STATUS_S = 6.0  # a part silent for longer gets no new work
UNREACHABLE_S = 6.0  # an owner that heard nothing for this long may be cut off from its workers
UNREACHABLE_MIN_MACHINES = 2  # of this many machines at least: one alone may be silent itself
QUEUE_LEAST = 2
LOAD_LOG_S = 10.0
QUEUE_SHARE = 0.15  # singles queued in a part, beyond what fits, by running ones
RESERVATION_FRACTION = 0.25  # of its run time, or of its wait so far, a gang may hold idle slots
UNAIMED_WAIT_S = 90.0  # work without aims lets gangs with some go first for this long
FLEET_S = 1.0  # renting and returning is thought about this often


class PartitionRebalancer(Protocol):
    """What the leader needs of the shares of zones, where there are any."""

    def note_waiting(self, wall: Seconds, jobs: Iterable[JobRecord]) -> None:
        """Jobs of which nothing has started may wait for room that is kept for other teams."""

    def served_teams(self, shard: ShardName) -> frozenset[str] | None:
        """The teams whose work may come to a part; None: all teams."""

    def changes(
        self,
        now: Seconds,
        wall: Seconds,
        shards: list[ObservedShard],
        placed: Set[MachineId],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """The writes that move machines between shares."""


class LeaderPlanner:
    """Plans of one term of leadership."""

    def __init__(
        self,
        cache: WatchCache,
        settings: Settings,
        estimates: Estimates,
        epoch: FencingToken,
        now: Seconds,
        tuning: Tuning | None = None,
        shard_names: list[str] | None = None,
    ) -> None:
        self.tuning = tuning or Tuning()
        self.cache = cache
        self.settings = settings.deployment
        self.estimates = estimates
        self.epoch = epoch
        self.started = now
        self._aimed = settings.deployment.aimed()
        self.demand = AcceleratorDemand(cache, self._aimed)
        self.gangs = GangDemand(cache, self.tuning.spare_slots)
        requests_per_pass = settings.deployment.cloud.rps * FLEET_S / 2  # deletions are calls too
        self.provisioner = Provisioner(
            cache, settings.deployment.zones, epoch, self.tuning, requests_per_pass
        )
        limits = self.settings.state.lowest()
        self._value_bytes = limits.value_bytes
        self._names = {settings.host_name, *(p.host_name for p in settings.peers)}
        self.machine_lifecycle = MachineLifecycle(
            cache,
            self.provisioner,
            self.settings.workers.lease_s,
            self.settings.cloud.list_lag_s,
            limits.value_bytes,
            limits.txn_ops,
            self.settings.workers.report_s,
        )
        self._job_writes = JobWrites(cache, shard_names or self.settings.zones, limits.value_bytes)
        self.shards: dict[ShardName, ObservedShard] = {}
        self._need_planner = CapacityRequestPlanner(
            cache, self.settings.zones, estimates, self.tuning, self.gangs, self.shards, self._job
        )
        self.provisioned: dict[str, list[MachineId] | None] = {}
        self.types: list[MachineType] = []
        self._counter = 0
        self._draft: dict[JobId, tuple[JobRecord, WritePriority]] = {}
        self._low: dict[JobId, int] = {}
        self._teams = {t.name: t for t in self.settings.teams}
        self._load_at = now
        self._fleet_at = -1e9
        self._reservation = ShardReservation()
        self._reserved_since: dict[JobId, Seconds] = {}  # gangs that stop nothing for their slots
        self.partitions: PartitionRebalancer | None = None  # where zones have shares

    # Inputs

    def shard_status(self, now: Seconds, status: ShardStatus) -> int:
        """A part's status; gives the number up to which this part is known here."""
        name = status.shard
        token = self.cache.version(SHARDS + name)
        if status.token != token:
            return 0
        shard = self.shards.get(name)
        if shard is None or shard.token != token:
            shard = self.shards[name] = ObservedShard(name, token)
        if shard.apply(now, status):
            self.estimates.adopt(status.estimates)
        return shard.number

    def _owned(self) -> list[ObservedShard]:
        """Parts whose owner has told of them."""
        version = self.cache.version
        return [
            p
            for name, p in self.shards.items()
            if p.number > 0 and p.token == version(SHARDS + name)
        ]

    def provisioning_answered(self, name: str, machines: list[MachineId] | None) -> None:
        self.provisioned[name] = machines

    def machines_deleted(self, machines: Iterable[MachineId]) -> None:
        self.machine_lifecycle.were_deleted(machines)

    def machines_listed(self, now: Seconds, listing: MachineList) -> None:
        self.machine_lifecycle.were_listed(now, listing)

    def catalog(self, types: list[MachineType]) -> None:
        self.types = types
        self.provisioner.catalog(types)

    def unreachable_shards(self) -> set[ShardName]:
        """Parts whose owner has not heard any of its machines for a while, though they are up.

        Deleting them all as silent would cost a part its work for one node's broken network.
        """
        unreachable = set()
        for shard in self._owned():
            up = sum(
                record.up and not record.terminating
                for m in shard.machines
                if (record := self.cache.machines.get(m)) is not None
            )
            if up >= UNREACHABLE_MIN_MACHINES and shard.latest.heard_ago_s > UNREACHABLE_S:
                unreachable.add(shard.shard)
        return unreachable

    # Drafts of job records

    def _edit(self, job_id: JobId, priority: WritePriority) -> JobRecord:
        draft = self._draft.get(job_id)
        if draft is not None:
            self._draft[job_id] = (draft[0], min(priority, draft[1]))
            return draft[0]
        job = self.cache.jobs[job_id].copy()
        self._draft[job_id] = (job, priority)
        return job

    def _job(self, job_id: JobId) -> JobRecord:
        draft = self._draft.get(job_id)
        return draft[0] if draft is not None else self.cache.jobs[job_id]

    # The pass

    def plan(self, now: Seconds, wall: Seconds) -> list[ConditionalWrite]:
        """What to write now, what matters most first."""
        self._draft.clear()
        self.machine_lifecycle.begin()
        self._reconcile_shards(now)
        self._review_machines(now, wall)
        self.demand.update(now, wall)
        self.gangs.update(now)
        usage = self._usage()
        if self.partitions is not None:
            self.partitions.note_waiting(wall, map(self._job, self.cache.live_jobs))
        shard_capacities = self._shard_capacities(now)
        self._place_gangs(now, wall, shard_capacities, usage)
        ordered = self._pending_arrays(wall)
        self._assign_array_tasks(shard_capacities, usage, self._let_gangs_first(wall, ordered))
        provisioner = self._fleet_changes(now, wall, shard_capacities, ordered)
        moves = self._partition_changes(now, wall)
        # Machines before the end of the booking that rented them: what the budget cuts off is
        # the end of this list, and a machine without record or booking is found only later.
        writes = self._job_writes
        changes = (
            self._raise_format()
            + self.machine_lifecycle.changes()
            + provisioner
            + moves
            + writes.convert()
        )
        for job_id in writes.oversized_placements():
            self._edit(job_id, WritePriority.NORMAL)
        for job_id, (job, priority) in self._draft.items():
            changes += writes.changes(now, job_id, job, priority)
        changes += writes.leftovers(self._draft)
        changes.sort(key=lambda c: c.priority)
        if log.isEnabledFor(logging.DEBUG) and now - self._load_at > LOAD_LOG_S:
            self._load_at = now
            self._log_load(wall, shard_capacities, ordered)
        return changes

    def _partition_changes(self, now: Seconds, wall: Seconds) -> list[ConditionalWrite]:
        """Moves of machines between shares: after all else of this pass, so that no group is
        written for a move and for another reason at once."""
        if self.partitions is None:
            return []
        placed = {
            MachineId(machine)
            for job_id in (self.cache.live_jobs if self.cache.transfers else ())
            if (gang := self._job(job_id).gang) is not None
            for _, machine in gang.placements
        }
        return self.partitions.changes(now, wall, self._owned(), placed, self.machine_lifecycle)

    def _raise_format(self) -> list[ConditionalWrite]:
        """Once every controller named in the settings was seen with a version that understands
        it, the newer format is used: for good, since the record of it is a condition of nothing
        and read by all. One that was not heard of may yet come back with the older version."""
        understood = min(
            (self.cache.understood.get(ControllerName(name), FIRST_FORMAT) for name in self._names),
            default=FIRST_FORMAT,
        )
        if self.cache.format >= understood:
            return []
        log.info("event=format_raised version=%d", understood)
        return [
            ConditionalWrite(
                FORMAT, {"version": understood}, self.cache.version(FORMAT), WritePriority.URGENT
            )
        ]

    def written(self, now: Seconds, changes: Iterable[ConditionalWrite]) -> None:
        """These changes are stored."""
        for change in changes:
            job_id = job_of(change.key)
            if job_id is not None:
                self._job_writes.written(now, job_id)
            elif change.key.startswith(MACHINES):
                self.machine_lifecycle.written(now, change.key[len(MACHINES) :])

    def _log_load(
        self,
        wall: Seconds,
        shard_capacities: list[ShardCapacity],
        ordered: list[Waiting],
    ) -> None:
        """What there is and what waits, for those who look for a cause."""
        kinds: dict[str, list[float]] = {}
        for capacity in (v for shard in shard_capacities for v in shard.capacities):
            row = kinds.setdefault(
                capacity.type + ("/spot" if capacity.spot else ""), [0, 0.0, 0.0]
            )
            row[0] += 1
            row[1] += capacity.free.cpus
            row[2] += capacity.free.gpus
        waiting: dict[str, int] = {}
        for _, job, left in ordered:
            waiting[job.spec.job_class] = waiting.get(job.spec.job_class, 0) + left
        held = gangs = 0
        for job_id in self.cache.live_jobs:
            job = self._job(job_id)
            if job.spec.is_gang and job.open:
                gangs += job.gang is None
                held += job.gang is not None
        log.debug(
            "event=load_reported free=%s provisioning=%d unassigned=%s gangs_waiting=%d "
            "gangs_placed=%d",
            kinds,
            len(self.provisioner.coming(wall)),
            waiting,
            gangs,
            held,
        )

    def _reconcile_shards(self, now: Seconds) -> None:
        """Take over what the parts report of their jobs."""
        for shard in self._owned():
            self._reconcile_array_tasks(shard)
            for job_id in shard.latest.drained_jobs:
                old = self.cache.jobs.get(job_id)
                if old is not None and not old.open and shard.shard in old.assignments:
                    self._edit(job_id, WritePriority.LOW).assignments.pop(shard.shard, None)
        self._reconcile_gangs(now)

    def _reconcile_array_tasks(self, shard: ObservedShard) -> None:
        name = shard.shard
        for job_id, status in shard.jobs.items():
            if not status.done and not status.released:
                continue
            old = self.cache.jobs.get(job_id)
            if old is None or not old.open:
                continue
            assigned = old.assigned(name)
            done = [i for i in status.done if i not in old.done and i in assigned]
            if old.spec.is_service:
                done = []  # a service is never done, whatever its replicas report
            # What is given back counts only against the record that the part knew: a newer
            # one may have granted the same task anew.
            released = status.released if status.version == old.version else []
            if not done and not released:
                continue
            job = self._edit(job_id, WritePriority.NORMAL if released else WritePriority.PROGRESS)
            job.done.update(done)
            job.assignments[name] = job.assigned(name).difference(done, released)
            if not job.assignments[name]:
                del job.assignments[name]
            if len(job.done) == job.spec.task_count:
                self._edit(job_id, WritePriority.URGENT)
                job.stage = DONE
                job.assignments = {}
                log.info("event=job_done job=%s", job_id)

    def _reconcile_gangs(self, now: Seconds) -> None:
        owned = {p.shard: p for p in self._owned()}
        lowest = min(
            (
                j.spec.priority
                for _, j in self.cache.each_live()
                if j.open and not (j.spec.is_gang or j.spec.is_service)
            ),
            default=GANG_PRIORITY,
        )
        held: dict[JobId, Seconds] = {}
        for job_id, old in list(self.cache.each_live()):
            gang = old.gang
            if gang is None:
                continue
            states = []
            for name in gang.shards():
                shard = owned.get(ShardName(name))
                state = "unknown"
                if shard is not None and shard.seen >= old.version:
                    status = shard.gangs.get(job_id)
                    if status is not None and status.attempt == gang.attempt:
                        state = status.state
                states.append(state)
            if old.open and "done" in states:
                job = self._edit(job_id, WritePriority.URGENT)
                job.stage, job.done, job.gang, job.assignments = DONE, set(), None, {}
                log.info("event=job_done job=%s", job_id)
            elif (gang.over or not old.open) and all(s == "clear" for s in states):
                self._edit(job_id, WritePriority.NORMAL).gang = None
            elif old.open and not gang.over and "bad" in states:
                log.info("event=gang_ended job=%s attempt=%d", job_id, gang.attempt)
                self._edit(job_id, WritePriority.NORMAL).gang = msgspec.structs.replace(
                    gang, over=True
                )
            elif "held" in states and not gang.preempt and old.spec.priority > lowest:
                # Its slots were to be idle soon by estimates that were too low.
                held[job_id] = self._reserved_since.get(job_id, now)
                if now - held[job_id] > self.tuning.patience_s:
                    log.info("event=gang_preempting job=%s attempt=%d", job_id, gang.attempt)
                    self._edit(job_id, WritePriority.NORMAL).gang = msgspec.structs.replace(
                        gang, preempt=True
                    )
        self._reserved_since = held

    def _usage(self) -> dict[str, Resources]:
        """What each team's tasks use or may still use."""
        usage = {name: Resources(0.0, 0.0, 0.0) for name in self._teams}
        for job_id in self.cache.live_jobs:
            job = self._job(job_id)
            count = sum(len(tasks) for tasks in job.assignments.values())
            if job.gang is not None:
                count += job.spec.task_count
            used = usage.get(job.spec.team)
            if used is not None and count:
                usage[job.spec.team] = used.plus(job.resources.times(count))
        return usage

    def _within_limit(self, spec: JobSpec, usage: dict[str, Resources]) -> int:
        """How many more tasks of this kind its team's limit allows."""
        team, used = self._teams.get(spec.team), usage.get(spec.team)
        if team is None or used is None:
            return 0
        most = spec.task_count
        for limit, have, each in (
            (team.cpus_max, used.cpus, spec.cpus),
            (team.gpus_max, used.gpus, spec.gpus),
        ):
            if limit > 0 and each > 0:
                most = min(most, int((limit - have + 1e-6) / each))
        return max(0, most)

    def _spend(self, spec: JobSpec, count: int, usage: dict[str, Resources]) -> None:
        usage[spec.team] = usage[spec.team].plus(spec.resources.times(count))

    def _shard_capacities(self, now: Seconds) -> list[ShardCapacity]:
        """The parts' rooms, less what was given to them that their statuses don't show."""
        shard_capacities: list[ShardCapacity] = []
        by_shard: dict[str, ShardCapacity] = {}
        for shard in self._owned():
            if now - shard.at > STATUS_S:
                continue
            capacities = []
            for machine_id, status in shard.machines.items():
                record = self.cache.machines.get(machine_id)
                if record is None or record.terminating or not status.usable:
                    continue
                if record.shard != shard.shard or self.cache.transfers.drains(machine_id):
                    continue  # handed over, or chosen to be, since its status
                capacity = shard.capacities.get(machine_id)
                if capacity is None:
                    kind = self.cache.types.get(record.type)
                    if kind is None:
                        continue
                    capacity = shard.capacities[machine_id] = machine_capacity(
                        machine_id,
                        record.type,
                        shard.shard,
                        record.spot,
                        kind.resources,
                        status,
                        self.demand,
                        shard.clock,
                    )
                capacity.begin(now)
                capacity.kept = None
                capacities.append(capacity)
            room = ShardCapacity(shard.shard, capacities)
            if self.partitions is not None:
                room.reserve(self.partitions.served_teams(shard.shard))
            shard_capacities.append(room)
            by_shard[shard.shard] = room
        for job_id in self.cache.live_jobs:
            job = self._job(job_id)
            if job.gang is not None:
                for name, machine in job.gang.placements:
                    said = self.shards.get(ShardName(name))
                    if name not in by_shard or said is None or said.seen >= job.version:
                        continue
                    taken = said.capacities.get(MachineId(machine))
                    if taken is not None:
                        by_shard[name].take([taken], job.resources)
            for name, tasks in job.assignments.items():
                if name not in by_shard:
                    continue
                backlog = len(tasks) - self.shards[ShardName(name)].placed(job_id)
                if backlog > 0:
                    by_shard[name].take_most(job.spec, backlog)
        return shard_capacities

    # Gangs

    def _place_gangs(
        self,
        now: Seconds,
        wall: Seconds,
        shard_capacities: list[ShardCapacity],
        usage: dict[str, Resources],
    ) -> None:
        """The largest fitting gang first, the oldest among equals, until none fits."""
        waiting = [
            (job_id, job)
            for job_id, job in ((j, self._job(j)) for j in self.cache.live_jobs)
            if job.spec.is_gang and job.open and job.gang is None
        ]
        waiting.sort(
            key=lambda w: (-w[1].spec.priority, -w[1].spec.task_count, w[1].submitted_at, w[0])
        )
        self._reservation.begin()
        left = self._place_each(waiting, wall, shard_capacities, usage)
        above = [w for w in left if w[1].spec.priority > self.demand.priority]
        if above and self.demand.wanted():
            above = self._not_awaited(wall, above)
        if above and self.demand.wanted():
            # Nothing without accelerators is to be had soon, and this work goes before theirs.
            for room in shard_capacities:
                room.set_demand(None)
            self._place_each(above, wall, shard_capacities, usage)
            for room in shard_capacities:
                room.set_demand(self.demand)

    def _not_awaited(
        self, wall: Seconds, gangs: list[tuple[JobId, JobRecord]]
    ) -> list[tuple[JobId, JobRecord]]:
        """Gangs for which no machines without accelerators are about to come up. At the start
        of a day all come up together, and those that were there first kept gangs for minutes."""
        coming = {Zone(z): ShardCapacity(ShardName(z), []) for z in self.settings.zones}
        for capacity in self.provisioner.coming(wall):
            if capacity.total.gpus == 0 and capacity.zone in coming:
                coming[capacity.zone].add(capacity)
        out = []
        for job_id, job in gangs:
            spec, placement_key = job.spec, job.spec.placement_key
            shards = sorted(coming.values(), key=lambda p: -p.idle(spec, placement_key))
            if (
                not spec.same_zone
                and sum(p.idle(spec, placement_key) for p in shards) >= spec.task_count
            ):
                left = spec.task_count
                for shard in shards:
                    left -= shard.take_most(spec, left)
            elif shards and shards[0].idle(spec, placement_key) >= spec.task_count:
                shards[0].take_most(spec, spec.task_count)
            else:
                out.append((job_id, job))
        return out

    def _place_each(
        self,
        waiting: list[tuple[JobId, JobRecord]],
        wall: Seconds,
        shard_capacities: list[ShardCapacity],
        usage: dict[str, Resources],
    ) -> list[tuple[JobId, JobRecord]]:
        """Place gangs in this order; gives those for which there was no room."""
        left = []
        by_shard = {room.shard: room for room in shard_capacities}
        for job_id, job in waiting:
            spec = job.spec
            if self._within_limit(spec, usage) < spec.task_count:
                continue
            waited = wall - job.submitted_at
            limit = max(
                LONG_RESERVATION_S,
                RESERVATION_FRACTION * max(waited, self.estimates.run_time(spec)),
            )
            open_shard_capacities = self._reservation.open_shards(shard_capacities)
            found = place_gang(spec, open_shard_capacities, limit, self.tuning.patience_s)
            if found is None:
                left.append((job_id, job))
                self._reservation.ask(wall, spec, waited, shard_capacities, limit)
                continue
            chosen, preempt = found
            for capacity in chosen:
                by_shard[capacity.shard].take([capacity], job.resources)
            self._reservation.placed(wall, {capacity.shard for capacity in chosen})
            self._spend(spec, spec.task_count, usage)
            self._counter += 1
            attempt = self.epoch * IDS_PER_TOKEN + self._counter
            placements = [(str(v.shard), str(v.id)) for v in chosen]
            self._edit(job_id, WritePriority.NORMAL).gang = GangPlacement(
                attempt, placements, preempt=preempt
            )
            log.info(
                "event=gang_placed job=%s attempt=%d machines=%s preempt=%s",
                job_id,
                attempt,
                ",".join(m for _, m in placements),
                preempt,
            )
        return left

    # Singles

    def _due(self, job: JobRecord, wall: Seconds) -> tuple[int, Seconds]:
        """When the job should be complete: the first of its aims that it can still reach, and
        how many it has missed. Late work goes behind work that is still in time, or under
        load the most overdue would make everything late."""
        spec = job.spec
        aims = [] if spec.deadline_s is None else [spec.deadline_s]
        for aim in self.settings.objectives:
            if aim.class_ != spec.job_class:
                continue
            if aim.kind == "deadline" and spec.deadline_s is not None:
                aims.append(spec.deadline_s * aim.times)
            elif aim.kind == "finished" and aim.within_s is not None:
                aims.append(aim.within_s)
        earliest = wall + self.estimates.run_time(spec)
        missed = 0
        for within in sorted(set(aims)):
            if job.submitted_at + within >= earliest:
                return missed, job.submitted_at + within
            missed += 1
        return missed, float("inf")

    def _within_guarantee(self, jobs: list[tuple[JobId, JobRecord]]) -> set[JobId]:
        """Jobs that fit into their team's guarantee with its earlier unfinished ones."""
        used: dict[str, tuple[float, float]] = {}
        within = set()
        for job_id, job in sorted(jobs, key=lambda j: (j[1].submitted_at, j[0])):
            team = self._teams.get(job.spec.team)
            if team is None:
                continue
            cpus, gpus = used.get(team.name, (0.0, 0.0))
            left = job.spec.task_count - job.done_count
            cpus += job.spec.cpus * left
            gpus += job.spec.gpus * left
            used[team.name] = (cpus, gpus)
            with_gpus = job.spec.gpus > 0 and gpus <= team.gpus + 1e-6
            cpus_only = job.spec.gpus == 0 and team.cpus > 0 and cpus <= team.cpus + 1e-6
            if with_gpus or cpus_only:
                within.add(job_id)
        return within

    def _pending_arrays(self, wall: Seconds) -> list[Waiting]:
        """Open arrays with tasks that are not granted, in the order in which they are served."""
        jobs = [(j, self._job(j)) for j in self.cache.live_jobs]
        jobs = [(j, job) for j, job in jobs if job.open and not job.spec.is_gang]
        within = self._within_guarantee(jobs)
        out = []
        for job_id, job in jobs:
            assigned = sum(len(tasks) for tasks in job.assignments.values())
            left = job.spec.task_count - len(job.done) - assigned
            out.append(Waiting(job_id, job, left))
        out.sort(
            key=lambda waiting: (
                -waiting.job.spec.priority,
                waiting.job_id not in within,
                -self.tuning.class_weights.get(waiting.job.spec.job_class, 1.0),
                self._due(waiting.job, wall),
                waiting.job.submitted_at,
                waiting.job_id,
            )
        )
        return out

    def _next_tasks(self, job_id: JobId, job: JobRecord, count: int) -> list[int]:
        assigned: set[int] = set()
        for tasks in job.assignments.values():
            assigned |= tasks
        low = self._low.get(job_id, 0)
        while low < job.spec.task_count and low in job.done:
            low += 1
        self._low[job_id] = low
        out: list[int] = []
        index = low
        while len(out) < count and index < job.spec.task_count:
            if index not in job.done and index not in assigned:
                out.append(index)
            index += 1
        return out

    def _assign_array_tasks(
        self,
        shard_capacities: list[ShardCapacity],
        usage: dict[str, Resources],
        ordered: list[Waiting],
    ) -> None:
        """Parts get singles by their free room, and a few more for their queues."""
        queue_room = self._queue_room(shard_capacities)
        # Rooms go first to work whose image is there: a fetch keeps them from all work.
        for warm in (True, False):
            full: set[Any] = set()  # where one job got less than it wanted, one alike gets none
            for job_id, job, left in ordered:
                if left <= 0:
                    continue
                spec = job.spec
                kind = (spec.placement_key, spec.image if warm else "")
                if kind in full:
                    continue
                job = self._job(job_id)
                assigned = sum(len(tasks) for tasks in job.assignments.values())
                left = spec.task_count - len(job.done) - assigned
                count = min(left, self._within_limit(spec, usage))
                if count <= 0:
                    continue
                shares = self._shares(spec, job, shard_capacities, queue_room, count, warm)
                total = sum(shares.values())
                if total < count and not (spec.same_zone or spec.spread):
                    full.add(kind)
                if not total:
                    continue
                tasks = self._next_tasks(job_id, job, total)
                draft = self._edit(job_id, WritePriority.NORMAL)
                for name, share in shares.items():
                    mine, tasks = tasks[:share], tasks[share:]
                    draft.assignments[name] = draft.assigned(name) | set(mine)
                self._spend(spec, total, usage)

    def _let_gangs_first(self, wall: Seconds, ordered: list[Waiting]) -> list[Waiting]:
        """Without the work of which users expect nothing, while gangs wait of which they do:
        its singles would take each room before it is large enough for a gang."""
        jobs = [self._job(j) for j in self.cache.live_jobs]
        waits = any(
            job.spec.is_gang and job.open and job.gang is None and job.spec.job_class in self._aimed
            for job in jobs
        )
        if not waits:
            return ordered
        return [
            entry
            for entry in ordered
            if entry.job.spec.job_class in self._aimed
            or entry.job.spec.is_service
            or wall - entry.job.submitted_at > UNAIMED_WAIT_S
        ]

    def _queue_room(self, shard_capacities: list[ShardCapacity]) -> dict[ShardName, int]:
        room = {}
        for shard in shard_capacities:
            said = self.shards[shard.shard]
            running = sum(capacity.array_tasks for capacity in shard.capacities)
            waiting = 0
            for job_id in self.cache.live_jobs:
                job = self._job(job_id)
                assigned = job.assignments.get(shard.shard)
                if assigned and not job.spec.is_service:
                    waiting += max(0, len(assigned) - said.placed(job_id))
            room[shard.shard] = max(0, int(QUEUE_LEAST + QUEUE_SHARE * running) - waiting)
        return room

    def _shares(
        self,
        spec: JobSpec,
        job: JobRecord,
        shard_capacities: list[ShardCapacity],
        queue_room: dict[ShardName, int],
        count: int,
        warm: bool,
    ) -> dict[ShardName, int]:
        placement_key = spec.placement_key
        shards = [p for p in shard_capacities if any(v.allows(spec) for v in p.capacities)]
        if spec.same_zone:
            zones = {zone_of(name) for name, tasks in job.assignments.items() if tasks}
            if not zones and shards:
                zones = {_widest_zone(shards, spec)}
            shards = [p for p in shards if p.zone in zones]
        shares: dict[ShardName, int] = {}
        left = {p.zone: spec.zone_cap - job.assigned_in_zone(p.zone) for p in shards}
        # A share kept for its team goes before what all use; by idle room else.
        shards.sort(key=lambda p: (p.teams is None, -p.idle(spec, placement_key)))
        for shard in shards:
            shard.keep_for_gangs(self.gangs, 1.0 / len(shard_capacities))
            share = shard.take_most(spec, min(count, left[shard.zone]), warm)
            shares[shard.shard] = share
            left[shard.zone] -= share
            count -= share
        for shard in shards if not warm else ():
            most = min(count, left[shard.zone])
            if spec.is_service:
                # None waits in a queue; what gives way to it makes room.
                extra = shard.take_forced(spec, most)
            else:
                extra = max(0, min(most, queue_room[shard.shard]))
                queue_room[shard.shard] -= extra
            shares[shard.shard] += extra
            left[shard.zone] -= extra
            count -= extra
        return {name: share for name, share in shares.items() if share}

    # Machines

    def _review_machines(self, now: Seconds, wall: Seconds) -> None:
        """Machines that came up, turned out unknown, or have to go."""
        heard: dict[MachineId, MachineStatus] = {}
        silent: dict[MachineId, Silence] = {}
        for shard in self._owned():
            heard.update(shard.machines)
            others_heard = shard.latest.heard_ago_s < self.settings.workers.report_s
            # What a part has not heard for long is told in full each time; a status that is
            # itself old says less than its age.
            for machine_id, silent_machine in shard.latest.silent.items():
                if self._handed_over(machine_id, shard):
                    continue
                silent[machine_id] = Silence(
                    silent_machine.silent_s, silent_machine.urgent, others_heard
                )
        self.machine_lifecycle.review(now, wall, heard, silent, self.settings.zones)

    def _handed_over(self, machine_id: MachineId, shard: ObservedShard) -> bool:
        """Whether a machine has gone to another part since that part's status."""
        record = self.cache.machines.get(machine_id)
        return record is not None and record.shard != shard.shard

    def _fleet_changes(
        self,
        now: Seconds,
        wall: Seconds,
        shard_capacities: list[ShardCapacity],
        ordered: list[Waiting],
    ) -> list[ConditionalWrite]:
        changes: list[ConditionalWrite] = []
        if self.types and {t.name: _shape(t) for t in self.types} != {
            t.name: _shape(t) for t in self.cache.types.values()
        }:
            changes += self._types_changes()
        for name, machines in list(self.provisioned.items()):
            provisioning_request = self.cache.provisioning_requests.get(name)
            if provisioning_request is None:
                del self.provisioned[name]
                continue
            key = PROVISIONING_REQUESTS + name
            if machines is None or len(machines) < provisioning_request.count:
                self.provisioner.no_capacity(now, provisioning_request)
            self.machine_lifecycle.provisioned(name, provisioning_request, machines or [], wall)
            changes.append(
                ConditionalWrite(key, None, self.cache.version(key), WritePriority.URGENT)
            )
        if now - self._fleet_at >= FLEET_S and self._ready(now):
            self._fleet_at = now
            capacity_requests = self._need_planner.capacity_requests(wall, ordered)
            spare = self._spare_slots(shard_capacities)
            provisioning_requests, unmet = self.provisioner.scale_out(
                now, wall, capacity_requests, shard_capacities
            )
            for asked in provisioning_requests:
                self._counter += 1
                name = f"r-{self.epoch}-{self._counter}"
                value = msgspec.to_builtins(asked)
                changes.append(
                    ConditionalWrite(PROVISIONING_REQUESTS + name, value, 0, WritePriority.NORMAL)
                )
                log.info(
                    "event=provisioning_requested request=%s type=%s zone=%s spot=%s count=%d",
                    name,
                    asked.type,
                    asked.zone,
                    asked.spot,
                    asked.count,
                )
            self._scale_in(unmet, spare)
        return changes

    def _types_changes(self) -> list[ConditionalWrite]:
        """The types, in one record or, where they are too many for it, with a key for each."""
        value = encode_machine_types(self.types)
        if encoded_size(value) <= self._value_bytes or self.cache.format < FORMAT_NOW:
            return [ConditionalWrite(TYPES, value, self.cache.version(TYPES), WritePriority.URGENT)]
        out = [
            ConditionalWrite(
                TYPE_KEYS + kind.name,
                item,
                self.cache.version(TYPE_KEYS + kind.name),
                WritePriority.URGENT,
            )
            for kind, item in zip(self.types, value, strict=True)
            if (old := self.cache.types.get(kind.name)) is None or _shape(old) != _shape(kind)
        ]
        if self.cache.version(TYPES) and not out:
            out.append(ConditionalWrite(TYPES, [], self.cache.version(TYPES), WritePriority.URGENT))
        return out

    def _ready(self, now: Seconds) -> bool:
        """Whether enough is known to decide on machines: every owned part was heard."""
        if not self.cache.types or now - self.started < 1.0:
            return False
        shards = {name for name in self.cache.shards if zone_of(name) in self.settings.zones}
        fresh = {p.shard for p in self._owned() if now - p.at < STATUS_S}
        return bool(shards) and shards <= fresh

    def _scale_in(self, capacity_requests: list[CapacityRequest], spare: int) -> None:
        """Machines that have been idle for a while go back, unless something waits for them."""
        placed = {
            machine
            for job_id in self.cache.live_jobs
            if (gang := self._job(job_id).gang) is not None
            for _, machine in gang.placements
        }
        for shard in self._owned():
            for machine_id, idle in shard.latest.idle.items():
                record = self.cache.machines.get(machine_id)
                status = shard.machines.get(machine_id)
                if record is None or status is None or record.terminating or not record.up:
                    continue
                if self._handed_over(machine_id, shard):
                    continue
                if self.cache.transfers.drains(machine_id) is not None:
                    continue
                over = idle > self.provisioner.patience(record.type) or status.leaving
                if not over or machine_id in placed or self._wanted(record, capacity_requests):
                    continue
                slots = self._gang_slots(record)
                if slots and spare < slots:
                    continue
                spare -= slots
                self.machine_lifecycle.terminate(machine_id, "idle", WritePriority.LOW)

    def _spare_slots(self, shard_capacities: list[ShardCapacity]) -> int:
        """How many idle slots of the gangs' size there are beyond those to be kept."""
        idle = sum(self.gangs.resources.count_in(v.free) for p in shard_capacities for v in p.open)
        return idle - math.ceil(self.gangs.slots)

    def _gang_slots(self, record: MachineRecord) -> int:
        kind = self.cache.types.get(record.type)
        if kind is None or self.gangs.slots < 0.5:
            return 0
        return self.gangs.resources.count_in(kind.resources)

    def _wanted(self, record: MachineRecord, capacity_requests: list[CapacityRequest]) -> bool:
        kind = self.cache.types.get(record.type)
        return kind is not None and any(
            need.spec.resources.fits_in(kind.resources)
            and (need.spec.types is None or record.type in need.spec.types)
            and (need.spec.spot or not record.spot)
            for need in capacity_requests
        )


def _widest_zone(shards: list[ShardCapacity], spec: JobSpec) -> Zone:
    """The zone with most idle room for this work."""
    idle: dict[Zone, int] = {}
    for shard in shards:
        idle[shard.zone] = idle.get(shard.zone, 0) + shard.idle(spec, spec.placement_key)
    return max(idle, key=idle.__getitem__)


def _shape(kind: MachineType) -> tuple[Any, ...]:
    return (kind.name, kind.cpus, kind.gpus, kind.ram_gb, kind.boot_s, tuple(kind.zones))
