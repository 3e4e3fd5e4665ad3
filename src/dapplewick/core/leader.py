"""The leader: the grid scheduler of waiting gangs, grants of singles to parts, and the fleet.

Each pass looks at the records and the parts' newest statuses and says what to write; what was
not written is simply found again by the next pass.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from dapplewick.config import Settings
from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.fleet import Fleet, Need, wanted_slots
from dapplewick.core.model import (
    View,
    fit_all,
    fit_held,
    keep_for_gangs,
    room_for,
    take_most,
    view_of,
)
from dapplewick.protocol.wire import JobSpec, Listed, MachineList, MachineType, types_value
from dapplewick.storage.records import (
    BOOKINGS,
    DONE,
    JOBS,
    MACHINES,
    PARTS,
    TYPES,
    GangPlace,
    JobRecord,
    MachineRecord,
    Mirror,
)
from dapplewick.tuning import Tuning
from dapplewick.types import (
    PER_TOKEN,
    JobId,
    MachineId,
    Revision,
    Seconds,
    Size,
    Token,
    Zone,
)

log = logging.getLogger("dapplewick.leader")

STATUS_S = 6.0  # a part silent for longer gets no new work
PROGRESS_S = 1.0  # done tasks of an unfinished job are stored at most this often
STARVED_S = 60.0  # a gang that waited this long holds whatever it can
DEAF_S = 6.0  # an owner that heard nothing for this long may be cut off from its workers
DEAF_LEAST = 2  # of this many machines at least: one alone may be silent itself
QUEUE_LEAST = 2
LOAD_LOG_S = 10.0
LONG_HOLD_S = 10.0  # gangs that hold slots for longer want more machines
QUEUE_SHARE = 0.15  # singles queued in a part, beyond what fits, by running ones


class Change(NamedTuple):
    """A record to write (or remove, without a value) if it still has this version."""

    key: str
    value: Any
    version: int
    rank: int  # lower ones are written first


class PartStatus(NamedTuple):
    at: Seconds
    seen: Revision
    body: dict[str, Any]


class LeaderCore:
    """Plans of one term of leadership."""

    def __init__(
        self,
        mirror: Mirror,
        settings: Settings,
        estimates: Estimates,
        epoch: Token,
        now: Seconds,
        tuning: Tuning | None = None,
    ) -> None:
        self.tuning = tuning or Tuning()
        self.mirror = mirror
        self.settings = settings.deployment
        self.estimates = estimates
        self.epoch = epoch
        self.started = now
        self.demand = AcceleratorDemand(mirror)
        self.gangs = GangDemand(mirror, self.tuning.spare_slots)
        self.fleet = Fleet(mirror, settings.deployment.zones, epoch, self.tuning)
        self.status: dict[Zone, PartStatus] = {}
        self.rented: dict[str, list[MachineId] | None] = {}
        self.deleted: set[MachineId] = set()
        self.listed: dict[MachineId, Listed] = {}
        self._unknown_since: dict[MachineId, Seconds] = {}
        self.types: list[MachineType] = []
        self._counter = 0
        self._draft: dict[JobId, tuple[JobRecord, int]] = {}
        self._stored_at: dict[JobId, Seconds] = {}
        self._low: dict[JobId, int] = {}
        self._teams = {t.name: t for t in self.settings.teams}
        self._load_at = now
        self._up_since: dict[MachineId, Seconds] = {}

    # Inputs

    def part_status(self, now: Seconds, body: dict[str, Any]) -> None:
        zone = Zone(body["zone"])
        if body["token"] != self.mirror.version(PARTS + zone):
            return
        self.status[zone] = PartStatus(now, Revision(body["seen"]), body)
        self.estimates.adopt({k: (v[0], v[1]) for k, v in body["estimates"].items()})

    def booking_answered(self, name: str, machines: list[MachineId] | None) -> None:
        self.rented[name] = machines

    def machines_deleted(self, machines: Iterable[MachineId]) -> None:
        self.deleted.update(machines)

    def machines_listed(self, now: Seconds, listing: MachineList) -> None:
        self.listed = {MachineId(item.machine): item for item in listing.machines}
        known = self.mirror.machines.keys() | self.deleted
        self._unknown_since = {
            m: self._unknown_since.get(m, now) for m in self.listed if m not in known
        }

    def catalog(self, types: list[MachineType]) -> None:
        self.types = types
        self.fleet.catalog(types)

    def deaf_parts(self) -> set[Zone]:
        """Parts whose owner has not heard any of its machines for a while, though they are up.

        Deleting them all as silent would cost a part its work for one node's broken network.
        """
        deaf = set()
        for zone, status in self.status.items():
            if status.body["token"] != self.mirror.version(PARTS + zone):
                continue
            silent = [
                body["silent"]
                for machine_id, body in status.body["machines"].items()
                if (record := self.mirror.machines.get(machine_id)) is not None
                and record.up
                and not record.doomed
            ]
            if len(silent) >= DEAF_LEAST and min(silent) > DEAF_S:
                deaf.add(zone)
        return deaf

    # Drafts of job records

    def _edit(self, job_id: JobId, rank: int) -> JobRecord:
        draft = self._draft.get(job_id)
        if draft is not None:
            self._draft[job_id] = (draft[0], min(rank, draft[1]))
            return draft[0]
        old = self.mirror.jobs[job_id]
        job = JobRecord(old.spec, old.at)
        job.stage = old.stage
        job.done = set(old.done)
        job.grants = {zone: set(tasks) for zone, tasks in old.grants.items()}
        job.gang = old.gang
        job.version = old.version
        self._draft[job_id] = (job, rank)
        return job

    def _job(self, job_id: JobId) -> JobRecord:
        draft = self._draft.get(job_id)
        return draft[0] if draft is not None else self.mirror.jobs[job_id]

    # The pass

    def plan(self, now: Seconds, wall: Seconds) -> list[Change]:
        """What to write now."""
        self._draft.clear()
        changes: list[Change] = []
        self._absorb(now)
        changes += self._machine_changes(now, wall)
        self.demand.update(now)
        self.gangs.update(now)
        usage = self._usage()
        views = self._views(now)
        self._place_gangs(now, wall, views, usage)
        ordered = self._singles(wall, usage)
        self._grant(now, wall, views, usage, ordered)
        changes += self._fleet_changes(now, wall, views, ordered)
        for job_id, (job, rank) in self._draft.items():
            if rank == 3 and now - self._stored_at.get(job_id, 0.0) < PROGRESS_S:
                continue
            self._stored_at[job_id] = now
            changes.append(Change(JOBS + job_id, job.dump(), job.version, rank))
        changes.sort(key=lambda c: c.rank)
        if log.isEnabledFor(logging.DEBUG) and now - self._load_at > LOAD_LOG_S:
            self._load_at = now
            self._log_load(wall, views, ordered)
        return changes

    def _log_load(
        self,
        wall: Seconds,
        views: dict[Zone, list[View]],
        ordered: list[tuple[JobId, JobRecord, int]],
    ) -> None:
        """What there is and what waits, for those who look for a cause."""
        kinds: dict[str, list[float]] = {}
        for view in (v for part in views.values() for v in part):
            row = kinds.setdefault(view.type + ("/spot" if view.spot else ""), [0, 0.0, 0.0])
            row[0] += 1
            row[1] += view.free.cpus
            row[2] += view.free.gpus
        waiting: dict[str, int] = {}
        for _, job, left in ordered:
            waiting[job.spec.bundle] = waiting.get(job.spec.bundle, 0) + left
        held = gangs = 0
        for job_id in self.mirror.live_jobs:
            job = self._job(job_id)
            if job.spec.gang and job.open:
                gangs += job.gang is None
                held += job.gang is not None
        log.debug(
            "event=load rooms=%s coming=%d ungranted=%s gangs_waiting=%d gangs_placed=%d",
            kinds, len(self.fleet.coming(wall)), waiting, gangs, held,
        )  # fmt: skip

    def _absorb(self, now: Seconds) -> None:
        """Take over what the parts report of their jobs."""
        for zone, status in self.status.items():
            if status.body["token"] != self.mirror.version(PARTS + zone):
                continue
            self._absorb_singles(zone, status)
            for job_id in status.body["clear"]:
                old = self.mirror.jobs.get(job_id)
                if old is not None and not old.open and zone in old.grants:
                    self._edit(job_id, 2).grants.pop(zone, None)
        self._absorb_gangs()

    def _absorb_singles(self, zone: Zone, status: PartStatus) -> None:
        for job_id, body in status.body["jobs"].items():
            old = self.mirror.jobs.get(job_id)
            if old is None or not old.open:
                continue
            done = [i for i in body["done"] if i not in old.done and i in old.granted(zone)]
            # What is given back counts only against the record that the part knew: a newer
            # one may have granted the same task anew.
            returned = body["returned"] if body["version"] == old.version else []
            if not done and not returned:
                continue
            job = self._edit(job_id, 1 if returned else 3)
            job.done.update(done)
            job.grants[zone] = job.granted(zone).difference(done, returned)
            if not job.grants[zone]:
                del job.grants[zone]
            if len(job.done) == job.spec.tasks:
                self._edit(job_id, 0)
                job.stage = DONE
                job.grants = {}
                log.info("event=job_done job=%s", job_id)

    def _absorb_gangs(self) -> None:
        for job_id, old in list(self.mirror.each_live()):
            gang = old.gang
            if gang is None:
                continue
            states = []
            for zone in gang.zones():
                status = self.status.get(Zone(zone))
                state = "unknown"
                if status is not None and status.seen >= old.version:
                    attempt, said, _ = status.body["gangs"].get(job_id, (0, "unknown", 0.0))
                    state = said if attempt == gang.attempt else "unknown"
                states.append(state)
            if old.open and "done" in states:
                job = self._edit(job_id, 0)
                job.stage, job.done, job.gang, job.grants = DONE, set(), None, {}
                log.info("event=job_done job=%s", job_id)
            elif (gang.over or not old.open) and all(s == "clear" for s in states):
                self._edit(job_id, 1).gang = None
            elif old.open and not gang.over and "bad" in states:
                log.info("event=gang_over job=%s attempt=%d", job_id, gang.attempt)
                self._edit(job_id, 1).gang = GangPlace(gang.attempt, gang.places, over=True)

    def _usage(self) -> dict[str, Size]:
        """What each team's tasks use or may still use."""
        usage = {name: Size(0.0, 0.0, 0.0) for name in self._teams}
        for job_id in self.mirror.live_jobs:
            job = self._job(job_id)
            count = sum(len(tasks) for tasks in job.grants.values())
            if job.gang is not None:
                count += job.spec.tasks
            used = usage.get(job.spec.team)
            if used is not None and count:
                size = job.spec.size
                usage[job.spec.team] = used.plus(
                    Size(size.cpus * count, size.gpus * count, size.ram * count)
                )
        return usage

    def _within_limit(self, spec: JobSpec, usage: dict[str, Size]) -> int:
        """How many more tasks of this kind its team's limit allows."""
        team, used = self._teams.get(spec.team), usage.get(spec.team)
        if team is None or used is None:
            return 0
        most = spec.tasks
        for limit, have, each in (
            (team.cpus_max, used.cpus, spec.cpus),
            (team.gpus_max, used.gpus, spec.gpus),
        ):
            if limit > 0 and each > 0:
                most = min(most, int((limit - have + 1e-6) / each))
        return max(0, most)

    def _spend(self, spec: JobSpec, count: int, usage: dict[str, Size]) -> None:
        size = spec.size
        usage[spec.team] = usage[spec.team].plus(
            Size(size.cpus * count, size.gpus * count, size.ram * count)
        )

    def _views(self, now: Seconds) -> dict[Zone, list[View]]:
        """The parts' rooms, less what was given to them that their statuses don't show."""
        views: dict[Zone, list[View]] = {}
        by_id: dict[str, View] = {}
        for zone, status in self.status.items():
            if now - status.at > STATUS_S or status.body["token"] != self.mirror.version(
                PARTS + zone
            ):
                continue
            views[zone] = []
            for machine_id, body in status.body["machines"].items():
                record = self.mirror.machines.get(machine_id)
                kind = self.mirror.types.get(record.type) if record is not None else None
                if record is None or kind is None or record.doomed or not body["usable"]:
                    continue
                view = view_of(
                    machine_id, record.type, zone, record.spot, kind.size, body, self.demand
                )
                views[zone].append(view)
                by_id[machine_id] = view
        for job_id in self.mirror.live_jobs:
            job = self._job(job_id)
            if job.gang is not None:
                for zone_name, machine_id in job.gang.places:
                    said = self.status.get(Zone(zone_name))
                    if machine_id in by_id and said is not None and said.seen < job.version:
                        by_id[machine_id].take(job.spec.size)
            for zone_name, tasks in job.grants.items():
                zone = Zone(zone_name)
                if zone not in views:
                    continue
                body = self.status[zone].body["jobs"].get(job_id)
                placed = body["placed"] if body is not None else 0
                backlog = len(tasks) - placed
                if backlog > 0:
                    take_most(views[zone], job.spec, backlog)
        return views

    # Gangs

    def _place_gangs(
        self,
        now: Seconds,
        wall: Seconds,
        views: dict[Zone, list[View]],
        usage: dict[str, Size],
    ) -> None:
        """The largest fitting gang first, the oldest among equals, until none fits."""
        waiting = [
            (job_id, job)
            for job_id, job in ((j, self._job(j)) for j in self.mirror.live_jobs)
            if job.spec.gang and job.open and job.gang is None
        ]
        waiting.sort(key=lambda w: (-w[1].spec.rank, -w[1].spec.tasks, w[1].at, w[0]))
        for job_id, job in waiting:
            spec = job.spec
            if self._within_limit(spec, usage) < spec.tasks:
                continue
            found = self._place_gang(spec, views, wall - job.at)
            if found is None:
                continue
            chosen, preempt = found
            for view in chosen:
                view.take(spec.size)
            self._spend(spec, spec.tasks, usage)
            self._counter += 1
            attempt = self.epoch * PER_TOKEN + self._counter
            places = [(str(v.zone), str(v.id)) for v in chosen]
            self._edit(job_id, 1).gang = GangPlace(attempt, places, preempt=preempt)
            log.info(
                "event=gang_placed job=%s attempt=%d machines=%s preempt=%s",
                job_id, attempt, ",".join(m for _, m in places), preempt,
            )  # fmt: skip

    def _place_gang(
        self, spec: JobSpec, views: dict[Zone, list[View]], waited: Seconds
    ) -> tuple[list[View], bool] | None:
        count = spec.tasks
        one_part = spec.zone_cap >= count
        best: tuple[float, list[View]] | None = None
        if one_part:
            for zone_views in views.values():
                chosen = fit_all(zone_views, spec, count)
                if chosen is not None:
                    spare = sum(v.capacity.gpus for v in chosen) if spec.gpus == 0 else 0.0
                    if best is None or spare < best[0]:
                        best = (spare, chosen)
        if best is not None:
            return best[1], False
        # Slots behind long work are no place to wait: rented machines come sooner, and so do
        # slots of other gangs that end, which a hold could not use any more.
        limit = LONG_HOLD_S if waited < STARVED_S else float("inf")
        held: tuple[float, list[View], bool] | None = None
        if one_part:
            for zone_views in views.values():
                option = fit_held(zone_views, spec, count, self.tuning.patience_s, limit)
                if option is not None:
                    wait = 0.0
                    for view in option[0]:
                        times = view.room_in(spec)
                        if times is not None:
                            wait = max(wait, times[1] if option[1] else times[0])
                    if held is None or wait < held[0]:
                        held = (wait, option[0], option[1])
        if held is not None:
            return held[1], held[2]
        if not spec.one_zone:
            spanning: list[View] = []
            for zone_views in sorted(views.values(), key=lambda z: -room_for(z, spec)):
                most = min(count - len(spanning), spec.zone_cap, room_for(zone_views, spec))
                if most > 0:
                    spanning += fit_all(zone_views, spec, most) or []
                if len(spanning) == count:
                    return spanning, False
        return None

    # Singles

    def _due(self, job: JobRecord, wall: Seconds) -> tuple[int, Seconds]:
        """When the job should be complete: the first of its aims that it can still reach, and
        how many it has missed. Late work goes behind work that is still in time, or under
        load the most overdue would make everything late."""
        spec = job.spec
        aims = [] if spec.deadline is None else [spec.deadline]
        for aim in self.settings.objectives:
            if aim.class_ != spec.bundle:
                continue
            if aim.kind == "deadline" and spec.deadline is not None:
                aims.append(spec.deadline * aim.times)
            elif aim.kind == "finished" and aim.within_s is not None:
                aims.append(aim.within_s)
        earliest = wall + self.estimates.run_time(spec)
        missed = 0
        for within in sorted(set(aims)):
            if job.at + within >= earliest:
                return missed, job.at + within
            missed += 1
        return missed, float("inf")

    def _within_guarantee(self, jobs: list[tuple[JobId, JobRecord]]) -> set[JobId]:
        """Jobs that fit into their team's guarantee with its earlier unfinished ones."""
        used: dict[str, tuple[float, float]] = {}
        within = set()
        for job_id, job in sorted(jobs, key=lambda j: (j[1].at, j[0])):
            team = self._teams.get(job.spec.team)
            if team is None:
                continue
            cpus, gpus = used.get(team.name, (0.0, 0.0))
            left = job.spec.tasks - job.done_count
            cpus += job.spec.cpus * left
            gpus += job.spec.gpus * left
            used[team.name] = (cpus, gpus)
            with_gpus = job.spec.gpus > 0 and gpus <= team.gpus + 1e-6
            cpus_only = job.spec.gpus == 0 and team.cpus > 0 and cpus <= team.cpus + 1e-6
            if with_gpus or cpus_only:
                within.add(job_id)
        return within

    def _singles(self, wall: Seconds, usage: dict[str, Size]) -> list[tuple[JobId, JobRecord, int]]:
        """Open arrays with tasks that are not granted, in the order in which they are served."""
        jobs = [(j, self._job(j)) for j in self.mirror.live_jobs]
        jobs = [(j, job) for j, job in jobs if job.open and not job.spec.gang]
        within = self._within_guarantee(jobs)
        out = []
        for job_id, job in jobs:
            granted = sum(len(tasks) for tasks in job.grants.values())
            left = job.spec.tasks - len(job.done) - granted
            out.append((job_id, job, left))
        out.sort(
            key=lambda o: (
                -o[1].spec.rank,
                o[0] not in within,
                -self.tuning.class_weights.get(o[1].spec.bundle, 1.0),
                self._due(o[1], wall),
                o[1].at,
                o[0],
            )
        )
        return out

    def _next_tasks(self, job_id: JobId, job: JobRecord, count: int) -> list[int]:
        granted: set[int] = set()
        for tasks in job.grants.values():
            granted |= tasks
        low = self._low.get(job_id, 0)
        while low < job.spec.tasks and low in job.done:
            low += 1
        self._low[job_id] = low
        out: list[int] = []
        index = low
        while len(out) < count and index < job.spec.tasks:
            if index not in job.done and index not in granted:
                out.append(index)
            index += 1
        return out

    def _grant(
        self,
        now: Seconds,
        wall: Seconds,
        views: dict[Zone, list[View]],
        usage: dict[str, Size],
        ordered: list[tuple[JobId, JobRecord, int]],
    ) -> None:
        """Parts get singles by their free room, and a few more for their queues."""
        queue_room = self._queue_room(views)
        # Rooms go first to work whose image is there: a fetch keeps them from all work.
        for warm in (True, False):
            for job_id, job, left in ordered:
                spec = job.spec
                job = self._job(job_id)
                granted = sum(len(tasks) for tasks in job.grants.values())
                left = spec.tasks - len(job.done) - granted
                count = min(left, self._within_limit(spec, usage))
                if count <= 0:
                    continue
                shares = self._shares(spec, job, views, queue_room, count, warm)
                total = sum(shares.values())
                if not total:
                    continue
                tasks = self._next_tasks(job_id, job, total)
                draft = self._edit(job_id, 1)
                for zone, share in shares.items():
                    mine, tasks = tasks[:share], tasks[share:]
                    draft.grants[zone] = draft.granted(zone) | set(mine)
                self._spend(spec, total, usage)

    def _queue_room(self, views: dict[Zone, list[View]]) -> dict[Zone, int]:
        room = {}
        for zone, zone_views in views.items():
            body = self.status[zone].body
            running = sum(len(v.ends) for v in zone_views)
            waiting = 0
            for job_id in self.mirror.live_jobs:
                granted = len(self._job(job_id).granted(zone))
                said = body["jobs"].get(job_id)
                waiting += max(0, granted - (said["placed"] if said is not None else 0))
            room[zone] = max(0, int(QUEUE_LEAST + QUEUE_SHARE * running) - waiting)
        return room

    def _shares(
        self,
        spec: JobSpec,
        job: JobRecord,
        views: dict[Zone, list[View]],
        queue_room: dict[Zone, int],
        count: int,
        warm: bool,
    ) -> dict[Zone, int]:
        zones = [z for z in views if any(v.allows(spec) for v in views[z])]
        if spec.one_zone:
            holders = [z for z, tasks in job.grants.items() if tasks]
            if holders:
                zones = [z for z in zones if z in holders]
            elif zones:
                zones = [max(zones, key=lambda z: room_for(views[z], spec))]
        shares: dict[Zone, int] = {}
        zones.sort(key=lambda z: -room_for(views[z], spec))
        for zone in zones:
            keep_for_gangs(views[zone], self.gangs, 1.0 / len(views))
            most = min(count, spec.zone_cap - len(job.granted(zone)))
            share = take_most(views[zone], spec, most, warm) if most > 0 else 0
            shares[zone] = share
            count -= share
        for zone in zones if not warm else ():
            most = min(count, spec.zone_cap - len(job.granted(zone)) - shares[zone])
            extra = min(most, queue_room[zone])
            if extra > 0:
                shares[zone] += extra
                queue_room[zone] -= extra
                count -= extra
        return {zone: share for zone, share in shares.items() if share}

    # Machines

    def _machine_changes(self, now: Seconds, wall: Seconds) -> list[Change]:
        """Machines that came up, turned out unknown, or have to go."""
        changes: list[Change] = []
        heard: dict[str, dict[str, Any]] = {}
        for zone, status in self.status.items():
            if status.body["token"] != self.mirror.version(PARTS + zone):
                continue
            heard.update(status.body["machines"])
            for machine_id, (type_, at_zone, spot, _) in status.body["strangers"].items():
                if machine_id not in self.mirror.machines and machine_id not in self.deleted:
                    record = MachineRecord(type=type_, zone=at_zone, spot=spot, at=wall)
                    changes.append(self._machine_change(machine_id, record, 1))
                    log.info("event=machine_adopted machine=%s", machine_id)
        for machine_id, record in self.mirror.machines.items():
            if record.doomed:
                if machine_id in self.deleted:
                    key = MACHINES + machine_id
                    changes.append(Change(key, None, self.mirror.version(key), 0))
                continue
            body = heard.get(machine_id)
            why = self._why_go(now, machine_id, record, body)
            if why:
                log.info("event=machine_doomed machine=%s reason=%s", machine_id, why)
                gone = msgspec.structs.replace(record, doomed=True)
                changes.append(self._machine_change(machine_id, gone, 0))
            elif body is not None and body["heard"] and not record.up:
                up = msgspec.structs.replace(record, up=True)
                changes.append(self._machine_change(machine_id, up, 0))
        # Lists lag: a machine that is gone may still be listed for twice the lag.
        patience = 2.5 * self.settings.cloud.list_lag_s
        for machine_id, since in self._unknown_since.items():
            item = self.listed[machine_id]
            if (
                now - since > patience
                and machine_id not in self.mirror.machines
                and item.zone in self.settings.zones
            ):
                record = MachineRecord(type=item.type, zone=item.zone, spot=item.spot, at=wall)
                changes.append(self._machine_change(machine_id, record, 2))
                log.info("event=machine_adopted machine=%s reason=listed", machine_id)
        return changes

    def _machine_change(self, machine_id: str, record: MachineRecord, rank: int) -> Change:
        key = MACHINES + machine_id
        value = {k: getattr(record, k) for k in record.__struct_fields__}
        return Change(key, value, self.mirror.version(key), rank)

    def _why_go(self, now: Seconds, machine_id: MachineId, record: MachineRecord, body: Any) -> str:
        if not record.up:
            since = self._up_since.setdefault(machine_id, now)
            return "never up" if now - since > self.fleet.boot_limit(record.type) else ""
        if body is None:
            return ""
        listed = self.listed.get(machine_id)
        if listed is not None and listed.state == "failed":
            return "failed"
        lease_s = self.settings.workers.lease_s
        if body["silent"] > lease_s + 1.0:
            return "silent"
        if body["wanted_gone"] and body["silent"] > lease_s / 2:
            # A hanging machine may hold a cancelled task until its deletion.
            return "silent with cancelled tasks"
        if body["faulty"]:
            return "faulty"
        return ""

    def _fleet_changes(
        self,
        now: Seconds,
        wall: Seconds,
        views: dict[Zone, list[View]],
        ordered: list[tuple[JobId, JobRecord, int]],
    ) -> list[Change]:
        changes: list[Change] = []
        if self.types and [_shape(t) for t in self.types] != [
            _shape(t) for t in self.mirror.types.values()
        ]:
            changes.append(Change(TYPES, types_value(self.types), self.mirror.version(TYPES), 0))
        for name, machines in list(self.rented.items()):
            booking = self.mirror.bookings.get(name)
            if booking is None:
                del self.rented[name]
                continue
            key = BOOKINGS + name
            if machines is None or len(machines) < booking.count:
                self.fleet.no_capacity(now, booking)
            for machine_id in machines or []:
                if machine_id not in self.mirror.machines:
                    record = MachineRecord(
                        type=booking.type, zone=booking.zone, spot=booking.spot, at=wall
                    )
                    changes.append(self._machine_change(machine_id, record, 0))
            changes.append(Change(key, None, self.mirror.version(key), 0))
        needs = self._needs(wall, ordered)
        if self._ready(now):
            rooms = [v for part in views.values() for v in part]
            spare = self._spare_slots(rooms)
            bookings, unmet = self.fleet.rent(now, wall, needs, rooms)
            for asked in bookings:
                self._counter += 1
                name = f"r-{self.epoch}-{self._counter}"
                value = {k: getattr(asked, k) for k in asked.__struct_fields__}
                changes.append(Change(BOOKINGS + name, value, 0, 1))
                log.info(
                    "event=rent booking=%s type=%s zone=%s spot=%s count=%d",
                    name, asked.type, asked.zone, asked.spot, asked.count,
                )  # fmt: skip
            changes += self._returns(now, unmet, spare)
        return changes

    def _ready(self, now: Seconds) -> bool:
        """Whether enough is known to decide on machines: every owned part was heard."""
        if not self.mirror.types or now - self.started < 1.0:
            return False
        zones = {z for z in self.mirror.parts if z in self.settings.zones}
        fresh = {z for z, s in self.status.items() if now - s.at < STATUS_S}
        return bool(zones) and zones <= fresh

    def _needs(self, wall: Seconds, ordered: list[tuple[JobId, JobRecord, int]]) -> list[Need]:
        needs = []
        for job_id in sorted(self.mirror.live_jobs, key=lambda j: self.mirror.jobs[j].at):
            job = self._job(job_id)
            if not job.spec.gang or not job.open:
                continue
            if job.gang is None or self._long_held(job_id, job.gang):
                needs.append(Need(job.spec, job.spec.tasks, True))
        groups: dict[Any, list[tuple[JobId, JobRecord, int]]] = {}
        for entry in ordered:
            spec = entry[1].spec
            key = (tuple(spec.types or ()), spec.spot, spec.zone, spec.gpus > 0)
            groups.setdefault(key, []).append(entry)
        for entries in groups.values():
            work, running, waiting, largest = 0.0, 0, 0, entries[0][1].spec
            horizon = self.tuning.horizon_s
            if largest.gpus > 0:
                horizon = self.tuning.horizon_accelerator_s
            for job_id, job, left in entries:
                placed = sum(
                    s.body["jobs"][job_id]["placed"]
                    for s in self.status.values()
                    if job_id in s.body["jobs"]
                )
                granted = sum(len(tasks) for tasks in job.grants.values())
                running += placed
                mine = left + max(0, granted - placed)
                waiting += mine
                work += mine * self.estimates.run_time(job.spec)
                if mine and job.spec.cpus > largest.cpus:
                    largest = job.spec
            count = min(waiting, wanted_slots(work, running, horizon))
            if work > 0 and running == 0:
                count = max(1, count)
            if count > 0:
                needs.append(Need(largest, count, False))
        if self.gangs.spec is not None and self.gangs.slots >= 0.5:
            # Idle slots for gangs still to come: renting when they are here is too late.
            needs.append(Need(self.gangs.spec, math.ceil(self.gangs.slots), False))
        # Accelerators first: gangs then see what CPUs these leave of the machines to come.
        needs.sort(key=lambda need: need.spec.gpus == 0)
        return needs

    def _long_held(self, job_id: JobId, gang: GangPlace) -> bool:
        """Whether a gang's slots will still be busy for long: more room is wanted then."""
        for zone in gang.zones():
            status = self.status.get(Zone(zone))
            if status is not None:
                attempt, state, wait = status.body["gangs"].get(job_id, (0, "", 0.0))
                if attempt == gang.attempt and state == "held" and wait > LONG_HOLD_S:
                    return True
        return False

    def _returns(self, now: Seconds, needs: list[Need], spare: int) -> list[Change]:
        """Machines that have been idle for a while go back, unless something waits for them."""
        changes = []
        for status in self.status.values():
            for machine_id, body in status.body["machines"].items():
                record = self.mirror.machines.get(machine_id)
                if record is None or record.doomed or not record.up:
                    continue
                idle = body["idle"] > self.fleet.patience(record.type) or (
                    body["leaving"] and body["idle"] > 1.0
                )
                if not idle or self._wanted(machine_id, record, needs):
                    continue
                if any(
                    job.gang is not None and any(m == machine_id for _, m in job.gang.places)
                    for job in (self._job(j) for j in self.mirror.live_jobs)
                ):
                    continue
                slots = self._gang_slots(record)
                if slots and spare < slots:
                    continue
                spare -= slots
                gone = msgspec.structs.replace(record, doomed=True)
                changes.append(self._machine_change(machine_id, gone, 2))
                log.info("event=machine_doomed machine=%s reason=idle", machine_id)
        return changes

    def _spare_slots(self, rooms: list[View]) -> int:
        """How many idle slots of the gangs' size there are beyond those to be kept."""
        idle = sum(self.gangs.size.times_in(v.free) for v in rooms)
        return idle - math.ceil(self.gangs.slots)

    def _gang_slots(self, record: MachineRecord) -> int:
        kind = self.mirror.types.get(record.type)
        if kind is None or self.gangs.slots < 0.5:
            return 0
        return self.gangs.size.times_in(kind.size)

    def _wanted(self, machine_id: str, record: MachineRecord, needs: list[Need]) -> bool:
        kind = self.mirror.types.get(record.type)
        return kind is not None and any(
            need.spec.size.fits(kind.size)
            and (need.spec.types is None or record.type in need.spec.types)
            and (need.spec.spot or not record.spot)
            for need in needs
        )


def _shape(kind: MachineType) -> tuple[Any, ...]:
    return (kind.name, kind.cpus, kind.gpus, kind.ram, kind.boot, tuple(kind.zones))
