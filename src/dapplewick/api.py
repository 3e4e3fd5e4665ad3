"""The users' interface: submit, poll, abort."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from dapplewick.config import Deployment, StateLimits
from dapplewick.protocol.wire import JobSpec, Malformed, job_view, parse_submission
from dapplewick.storage.client import Conflict, Refused, StateClient, Unknown
from dapplewick.storage.records import (
    CANCELLED,
    DONE,
    FORMAT_NOW,
    JOBS,
    JobRecord,
    Mirror,
    chunk_tasks,
    size_of,
)
from dapplewick.transport.http import Answer, Request
from dapplewick.types import JobId, Seconds

log = logging.getLogger("dapplewick.api")

PATH = "/v2/runs"
TRIES = 4
RETRY = 1

NOT_YET = Answer(503, b'{"error":"services begin after the upgrade of all controllers"}', 5)
UNAVAILABLE = Answer(503, b'{"error":"not available now"}', RETRY)
NOT_FOUND = Answer(404, b'{"error":"no such job"}')
NO_PATH = Answer(404, b'{"error":"no such path"}')
NO_METHOD = Answer(405, b'{"error":"method not allowed"}')


class World(Protocol):
    """What the interface needs of its controller."""

    mirror: Mirror
    state: StateClient
    ready: bool

    def wall(self) -> Seconds: ...

    async def current(self) -> None: ...

    def limits_now(self) -> StateLimits: ...

    def stored(self, key: str, value: object, version: int) -> None: ...

    def running_tasks(self, job: JobId) -> int: ...

    async def ask_peer(self, request: Request) -> Answer | None: ...


def error(status: int, reason: str) -> Answer:
    return Answer(status, msgspec.json.encode({"error": reason}))


class Api:
    """Answers users. Nothing is promised before it is stored."""

    def __init__(self, world: World, deployment: Deployment) -> None:
        self.world = world
        self.deployment = deployment
        self.teams = {t.name: t for t in deployment.teams}

    async def handle(self, request: Request) -> Answer | None:
        """Answer a request under our path; None if it is another's.

        What can't be decided here because the state service does not answer this node alone
        is put once to a peer that reaches it: every request here may be repeated.
        """
        answer = await self.answer(request)
        if answer is UNAVAILABLE:
            return await self.world.ask_peer(request) or answer
        return answer

    async def answer(self, request: Request) -> Answer | None:
        """The same, by this node alone."""
        path = request.target.partition("?")[0]
        if path == PATH:
            if request.method != "POST":
                return NO_METHOD
            return await self._guard(lambda: self.submit(request))
        if not path.startswith(PATH + "/"):
            return None
        job, slash, verb = path[len(PATH) + 1 :].partition("/")
        if not slash:
            if request.method != "GET":
                return NO_METHOD
            return await self._guard(lambda: self.poll(JobId(job)))
        if verb != "abort":
            return NO_PATH
        if request.method != "POST":
            return NO_METHOD
        return await self._guard(lambda: self.abort(JobId(job)))

    async def _guard(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        if not self.world.ready:
            return UNAVAILABLE
        try:
            return await call()
        except (Refused, Unknown) as err:
            log.debug("event=unavailable reason=%s", err)
            return UNAVAILABLE

    def _why_never(self, spec: JobSpec) -> str | None:
        """Why a job can never run, if so."""
        team = self.teams.get(spec.team)
        if team is None:
            return "unknown team"
        if spec.zone is not None and spec.zone not in self.deployment.zones:
            return "unknown zone"
        names = spec.types if spec.types is not None else list(self.world.mirror.types)
        types = [t for name in names if (t := self.world.mirror.types.get(name)) is not None]
        fitting = [t for t in types if spec.size.fits(t.size)]
        if not fitting:
            return "a task fits no allowed machine type"
        # A type that names no zones is offered in all of them.
        zones = {z for t in fitting for z in t.zones or self.deployment.zones}
        zones &= set(self.deployment.zones if spec.zone is None else [spec.zone])
        if not zones:
            return "no allowed machine type is offered in its zone"
        # All tasks of a gang, and all replicas of a service, are to run at the same time.
        all_at_once = spec.gang or spec.daemon
        if all_at_once and len(zones) * spec.zone_cap < spec.tasks:
            return "it can't be spread over so few zones"
        one_zone = spec.one_zone or spec.zone is not None
        if all_at_once and spec.zone_cap < spec.tasks and one_zone:
            return "it can't be both in one zone and spread over several"
        together = spec.tasks if all_at_once else 1
        for limit, each in ((team.cpus_max, spec.cpus), (team.gpus_max, spec.gpus)):
            if limit > 0 and each * together > limit + 1e-6:
                return "more than the team's limit"
        return None

    async def submit(self, request: Request) -> Answer:
        if request.too_large:
            return error(400, "body over 64 KiB")
        try:
            job_id, spec = parse_submission(request.body)
        except Malformed as err:
            return error(400, str(err))
        mirror = self.world.mirror
        if job_id in mirror.jobs:
            return await self.poll(job_id)
        if spec.daemon and mirror.format < FORMAT_NOW:
            # The record decides, so all controllers answer alike; not what this one last read.
            await self.world.current()
            if mirror.format < FORMAT_NOW:
                return NOT_YET
        if not mirror.types:
            return UNAVAILABLE
        reason = self._why_never(spec)
        if reason is not None:
            return error(422, reason)
        if spec.types is not None:
            known = sorted({t for t in spec.types if t in mirror.types})
            spec = msgspec.structs.replace(spec, types=known)
        job = JobRecord(spec, self.world.wall())
        zones, room = self.deployment.zones, self.world.limits_now().value_bytes
        if mirror.format >= FORMAT_NOW and not spec.gang and job.outgrows(zones, room):
            job.chunk = chunk_tasks(spec.tasks, zones, room)
        value = job.dump()
        if size_of(value) > room:
            return error(400, "the texts are too long together")
        key = JOBS + job_id
        try:
            version = await self.world.state.txn({key: 0}, {key: value})
        except Conflict:
            return await self.poll(job_id)
        except Unknown:
            # The answer was lost: what is stored tells. If nothing is, the write may still
            # come late, and then the user's retry finds the job known.
            found, version = await self.world.state.get(key)
            if not version:
                return UNAVAILABLE
            value = found
        self.world.stored(key, value, version)
        log.info("event=accepted job=%s tasks=%d", job_id, spec.tasks)
        return Answer(201, job_view(job_id, "queued"))

    def _final(self, job_id: JobId) -> Answer | None:
        job = self.world.mirror.jobs.get(job_id)
        if job is None or job.open:
            return None
        stage = "done" if job.stage == DONE else "withdrawn"
        return Answer(200, job_view(job_id, stage, job.done_count, 0))

    async def poll(self, job_id: JobId) -> Answer:
        final = self._final(job_id)
        if final is not None:
            return final
        # What is not final may have changed elsewhere: no older answer than another node's.
        await self.world.current()
        final = self._final(job_id)
        if final is not None:
            return final
        job = self.world.mirror.jobs.get(job_id)
        if job is None:
            return NOT_FOUND
        running = self.world.running_tasks(job_id)
        stage = "running" if running else "queued"
        return Answer(200, job_view(job_id, stage, job.done_count, running))

    async def abort(self, job_id: JobId) -> Answer:
        key = JOBS + job_id
        for _ in range(TRIES):
            await self.world.current()
            job = self.world.mirror.jobs.get(job_id)
            if job is None:
                return NOT_FOUND
            if not job.open:
                stage = "done" if job.stage == DONE else "withdrawn"
                return Answer(200, job_view(job_id, stage))
            cancelled = JobRecord(job.spec, job.at)
            cancelled.stage = CANCELLED
            cancelled.grants = job.grants
            cancelled.gang = job.gang
            cancelled.chunk = job.chunk
            value = cancelled.dump(self.world.limits_now().value_bytes)
            try:
                version = await self.world.state.txn({key: job.main_version}, {key: value})
            except Conflict:
                continue
            except Unknown:
                # Read back in the next round; a late write fails or does the same.
                continue
            self.world.stored(key, value, version)
            log.info("event=cancelled job=%s", job_id)
            return Answer(200, job_view(job_id, "withdrawn"))
        return UNAVAILABLE
