"""The HTTP interface for users: submit, poll and abort jobs."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import msgspec

from dapplewick.config import Deployment
from dapplewick.controller.job_states import JobStateReader, UnreadableJobError
from dapplewick.controller.partition_service_selector import PartitionServiceSelector
from dapplewick.controller.record_follower import RecordFollower
from dapplewick.controller.record_limits import RecordLimits
from dapplewick.coordination.peer_exchange import PeerExchange
from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.users import JobStage, encode_job_state, parse_submission
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.errors import (
    OutcomeUnknownError,
    RequestRefusedError,
    TransactionConflictError,
)
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.job_records import CANCELLED, DONE, JobRecord, chunk_capacity
from dapplewick.storage.keys import JOBS
from dapplewick.storage.state_client import StateClient
from dapplewick.transport.http import Request, Response
from dapplewick.types import JobId, Seconds

log = logging.getLogger(__name__)

JOBS_PATH = "/v2/runs"
MAX_CANCEL_ATTEMPTS = 4
RETRY_AFTER_S = 1

SERVICES_NOT_SUPPORTED = Response(
    503, b'{"error":"services begin after the upgrade of all controllers"}', 5
)
UNAVAILABLE = Response(503, b'{"error":"not available now"}', RETRY_AFTER_S)
NOT_FOUND = Response(404, b'{"error":"no such job"}')
NO_PATH = Response(404, b'{"error":"no such path"}')
NO_METHOD = Response(405, b'{"error":"method not allowed"}')


def error_response(status: int, reason: str) -> Response:
    """Return an error response that gives the reason to the user."""
    return Response(status, msgspec.json.encode({"error": reason}))


class UserApi:
    """Handles users' requests. A job is only acknowledged once it is stored."""

    def __init__(
        self,
        deployment: Deployment,
        records: RecordFollower,
        state: StateClient,
        peers: PeerExchange,
        partitions: PartitionServiceSelector,
        limits: RecordLimits,
        wall_time: Callable[[], Seconds],
    ) -> None:
        self._deployment = deployment
        self._teams = {team.name: team for team in deployment.teams}
        self._records = records
        self._states = JobStateReader(records)
        self._state = state
        self._peers = peers
        self._partitions = partitions
        self._limits = limits
        self._wall_time = wall_time

    async def handle(self, request: Request) -> Response | None:
        """Handle a request at or below JOBS_PATH; return None for other paths.

        If the state service is unavailable to this process, the request is forwarded once to a peer
        that has contact with it. This is safe since all these requests are idempotent.
        """
        response = await self.handle_locally(request)
        if response is UNAVAILABLE:
            return await self._peers.forward(request) or response
        return response

    async def handle_locally(self, request: Request) -> Response | None:
        """Handle a request at or below JOBS_PATH locally; return None for other paths."""
        path = request.target.partition("?")[0]
        if path == JOBS_PATH:
            if request.method != "POST":
                return NO_METHOD
            return await self._call_if_available(lambda: self.submit(request))
        if not path.startswith(JOBS_PATH + "/"):
            return None
        job, slash, action = path[len(JOBS_PATH) + 1 :].partition("/")
        if not slash:
            if request.method != "GET":
                return NO_METHOD
            return await self._call_if_available(lambda: self.poll(JobId(job)))
        if action != "abort":
            return NO_PATH
        if request.method != "POST":
            return NO_METHOD
        return await self._call_if_available(lambda: self.cancel(JobId(job)))

    async def _call_if_available(self, call: Callable[[], Awaitable[Response]]) -> Response:
        if not self._records.ready:
            return UNAVAILABLE
        try:
            return await call()
        except (RequestRefusedError, OutcomeUnknownError) as err:
            log.debug("event=request_unavailable reason=%s", err)
            return UNAVAILABLE

    def _infeasibility_reason(self, spec: JobSpec) -> str | None:
        """Return why a job can never run in this deployment; None if it can."""
        team = self._teams.get(spec.team)
        if team is None:
            return "unknown team"
        if spec.zone is not None and spec.zone not in self._deployment.zones:
            return "unknown zone"
        names = spec.types if spec.types is not None else list(self._records.cache.types)
        types = [t for name in names if (t := self._records.cache.types.get(name)) is not None]
        suitable = [t for t in types if spec.resources.fits_in(t.resources)]
        if not suitable:
            return "a task fits no allowed machine type"
        # A machine type without zones is offered in all zones.
        zones = {z for t in suitable for z in t.zones or self._deployment.zones}
        zones &= set(self._deployment.zones if spec.zone is None else [spec.zone])
        if not zones:
            return "no allowed machine type is offered in its zone"
        # All tasks of a gang and all replicas of a service must run at the same time.
        all_at_once = spec.is_gang or spec.is_service
        if all_at_once and len(zones) * spec.max_tasks_per_zone < spec.task_count:
            return "it can't be spread over so few zones"
        one_zone = spec.same_zone or spec.zone is not None
        if all_at_once and spec.max_tasks_per_zone < spec.task_count and one_zone:
            return "it can't be both in one zone and spread over several"
        concurrent_tasks = spec.task_count if all_at_once else 1
        for limit, per_task in ((team.cpus_max, spec.cpus), (team.gpus_max, spec.gpus)):
            if limit > 0 and per_task * concurrent_tasks > limit + 1e-6:
                return "more than the team's limit"
        return None

    async def submit(self, request: Request) -> Response:
        """Accept or refuse a job; for an existing job, return its state.

        Raises:
            RequestRefusedError: the records can't be read or written now.
        """
        if request.too_large:
            return error_response(400, "body over 64 KiB")
        try:
            job_id, spec = parse_submission(request.body)
        except MalformedMessageError as err:
            return error_response(400, str(err))
        cache = self._records.cache
        if job_id in cache.jobs:
            return await self._state_or_else(job_id, UNAVAILABLE)
        if spec.is_service and cache.format < CURRENT_FORMAT:
            # The cached format may be outdated. The stored one decides, so that the responses of
            # all controllers agree.
            await self._records.wait_until_current()
            if cache.format < CURRENT_FORMAT:
                return SERVICES_NOT_SUPPORTED
        if not cache.types:
            return UNAVAILABLE
        reason = self._infeasibility_reason(spec)
        if reason is not None:
            return await self._refuse(job_id, error_response(422, reason))
        job = self._new_record(spec)
        value = job.dump()
        if encoded_size(value) > self._limits.current().value_bytes:
            return await self._refuse(
                job_id, error_response(400, "the texts are too long together")
            )
        return await self._accept(job_id, spec.task_count, value)

    def _new_record(self, spec: JobSpec) -> JobRecord:
        """Create the initial record of a job that is about to be accepted."""
        cache = self._records.cache
        if spec.types is not None:
            known = sorted({t for t in spec.types if t in cache.types})
            spec = msgspec.structs.replace(spec, types=known)
        job = JobRecord(spec, self._wall_time())
        shards, max_value_bytes = self._partitions.shard_names(), self._limits.current().value_bytes
        if (
            cache.format >= CURRENT_FORMAT
            and not spec.is_gang
            and job.may_exceed(shards, max_value_bytes)
        ):
            job.chunk_size = chunk_capacity(spec.task_count, shards, max_value_bytes)
        return job

    async def _accept(self, job_id: JobId, task_count: int, value: object) -> Response:
        """Store a new job.

        The response gives the job's state after the write, not the value that was to be written.
        """
        key = JOBS + job_id
        try:
            version = await self._state.transaction({key: 0}, {key: value})
        except (TransactionConflictError, OutcomeUnknownError):
            # Either the job existed already, or the response was lost. In the latter case the
            # transaction may have stored the job, or it may have been rejected because another
            # controller had stored the job; that job may have ended since. If no job is found, the
            # write may still be applied later; the user's retry finds the job then.
            return await self._state_or_else(job_id, UNAVAILABLE)
        self._records.apply_stored_write(key, value, version)
        log.info("event=job_accepted job=%s tasks=%d", job_id, task_count)
        return self._state_without_counts(201, job_id, self._states.cached(job_id))

    async def _refuse(self, job_id: JobId, refusal: Response) -> Response:
        """Refuse a submission permanently, unless its job was accepted before.

        A job that was accepted may no longer pass validation if the catalog or the limits have
        changed since; its state is returned. While the records can't be read, the catalog and the
        limits alone decide, as they do for any job that was never accepted.
        """
        try:
            return await self._state_or_else(job_id, refusal)
        except UnreadableJobError:
            raise
        except RequestRefusedError:
            return refusal

    async def _state_or_else(self, job_id: JobId, otherwise: Response) -> Response:
        """Return a job's state, or `otherwise` if the job does not exist."""
        job = await self._states.read(job_id)
        if job is None:
            return otherwise
        running = self._peers.running_tasks(job_id) if job.open else 0
        stage = self._stage(job, running)
        return Response(200, encode_job_state(job_id, stage, job.done_count, running))

    @staticmethod
    def _stage(job: JobRecord, running: int) -> JobStage:
        """Return the stage of a job as users see it."""
        if job.stage == DONE:
            return JobStage.DONE
        if job.stage == CANCELLED:
            return JobStage.CANCELLED
        return JobStage.RUNNING if running else JobStage.QUEUED

    def _state_without_counts(self, status: int, job_id: JobId, job: JobRecord | None) -> Response:
        """Return a job's state without task counts, right after the job was written."""
        if job is None:
            return UNAVAILABLE
        return Response(status, encode_job_state(job_id, self._stage(job, 0)))

    async def poll(self, job_id: JobId) -> Response:
        """Return a job's state.

        Raises:
            RequestRefusedError: the records can't be read now.
        """
        return await self._state_or_else(job_id, NOT_FOUND)

    async def cancel(self, job_id: JobId) -> Response:
        """Cancel a job; a job that is done or cancelled stays unchanged.

        Raises:
            RequestRefusedError: the records can't be read or written now.
        """
        key = JOBS + job_id
        for _ in range(MAX_CANCEL_ATTEMPTS):
            job = await self._states.read_latest(job_id, for_change=True)
            if job is None:
                return NOT_FOUND
            if not job.open:
                return self._state_without_counts(200, job_id, job)
            cancelled = JobRecord(job.spec, job.submitted_at)
            cancelled.stage = CANCELLED
            cancelled.assignments = job.assignments
            cancelled.gang = job.gang
            cancelled.chunk_size = job.chunk_size
            value = cancelled.dump(self._limits.current().value_bytes)
            try:
                version = await self._state.transaction({key: job.main_version}, {key: value})
            except (TransactionConflictError, OutcomeUnknownError):
                # The next attempt reads the job again. A write of this attempt that is applied late
                # either conflicts with a newer version or cancels the job too.
                continue
            self._records.apply_stored_write(key, value, version)
            log.info("event=job_cancelled job=%s", job_id)
            return self._state_without_counts(200, job_id, self._states.cached(job_id))
        return UNAVAILABLE
