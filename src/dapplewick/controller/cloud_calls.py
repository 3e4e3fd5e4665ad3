"""Calls to the cloud by the leader: provisioning, deletion, catalog and machine list."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.presence import Presence
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.protocol.cloud import (
    ListedMachine,
    MachineList,
    encode_deletion_request,
    encode_provisioning_request,
    parse_catalog,
    parse_machine_list,
    parse_provisioned_machines,
)
from dapplewick.storage.rate_limiter import RateLimiter
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.transport.http_client import HttpError
from dapplewick.types import NEVER_S, MachineId, Seconds

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.1  # between two checks for requests to send
NON_LEADER_EXTRA_DELAY_S = 0.3  # added to POLL_INTERVAL_S while this controller may not call
CATALOG_INTERVAL_S = 45.0
LIST_INTERVAL_S = 10.0
CALL_TIMEOUT_S = 6.0
FAILURE_BACKOFF_S = 1.0
MAX_DELETIONS_PER_CALL = 100
PAGE_SIZE = 500  # machines in one page of the machine list
MAX_LISTED_MACHINES = 20_000  # no further pages of a list are read beyond this number


class CloudConnection(Protocol):
    """A connection that sends requests to the cloud."""

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and wait for the response.

        Args:
            method: the HTTP method.
            target: the path and the query.
            body: the request's body, if any.
            timeout_s: the timeout in seconds.

        Returns:
            The status and the body of the response.

        Raises:
            HttpError: no response arrived within the timeout.
        """
        ...


class CloudCaller:
    """Sends the provisioning requests and deletions that are in the records.

    Also polls the cloud's catalog and machine list for the planner. Requests are sent only while
    this controller leads and its presence lease is valid.
    """

    def __init__(
        self,
        cloud: CloudConnection,
        budget: RateLimiter,
        cache: WatchCache,
        leadership: Leadership,
        presence: Presence,
        now: Callable[[], Seconds],
    ) -> None:
        self._cloud = cloud
        self._budget = budget
        self._cache = cache
        self._leadership = leadership
        self._presence = presence
        self._now = now
        self._provisioning: set[str] = set()
        self._deleting: set[MachineId] = set()

    async def run(self) -> None:
        """Call the cloud whenever this controller leads; runs until cancelled."""
        catalog_requested_at = list_requested_at = NEVER_S
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(POLL_INTERVAL_S)
                planner = self._leadership.planner
                if planner is None or not self._presence.lease_valid():
                    catalog_requested_at = list_requested_at = NEVER_S
                    await anyio.sleep(NON_LEADER_EXTRA_DELAY_S)
                    continue
                now = self._now()
                self._start_provisioning(group, planner)
                self._start_deletion(group, planner)
                if now - catalog_requested_at > CATALOG_INTERVAL_S and self._budget.try_acquire():
                    catalog_requested_at = now
                    if not await self._refresh_catalog(planner):
                        catalog_requested_at = now - CATALOG_INTERVAL_S + FAILURE_BACKOFF_S
                if now - list_requested_at > LIST_INTERVAL_S and self._budget.try_acquire():
                    list_requested_at = now
                    await self._refresh_machine_list(planner)

    def _start_provisioning(self, group: TaskGroup, planner: LeaderPlanner) -> None:
        for name in self._cache.provisioning_requests:
            is_new = name not in self._provisioning and name not in planner.provisioning_responses
            if is_new and self._budget.try_acquire():
                self._provisioning.add(name)
                group.start_soon(self._provision, planner, name)

    def _start_deletion(self, group: TaskGroup, planner: LeaderPlanner) -> None:
        terminating = [
            machine
            for machine, record in self._cache.machines.items()
            if record.terminating
            and machine not in planner.machine_lifecycle.deleted
            and machine not in self._deleting
        ][:MAX_DELETIONS_PER_CALL]
        if terminating and self._budget.try_acquire():
            self._deleting.update(terminating)
            group.start_soon(self._delete, planner, terminating)

    async def _call(self, method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        """Send a request; without a response, return status 0 and the text of the error."""
        try:
            return await self._cloud.request(method, target, body, CALL_TIMEOUT_S)
        except HttpError as err:
            return 0, str(err).encode()

    async def _provision(self, planner: LeaderPlanner, name: str) -> None:
        try:
            provisioning_request = self._cache.provisioning_requests[name]
            body = encode_provisioning_request(
                name,
                provisioning_request.type,
                provisioning_request.zone,
                spot=provisioning_request.spot,
                count=provisioning_request.count,
            )
            status, response_body = await self._call("POST", "/hosts", body)
            if status == 200:
                planner.record_provisioning_response(
                    name, parse_provisioned_machines(response_body)
                )
            elif status == 400 or (status == 503 and b"no capacity" in response_body):
                planner.record_provisioning_response(name, None)
            else:
                log.info("event=provisioning_failed request=%s status=%d", name, status)
                await anyio.sleep(FAILURE_BACKOFF_S)
            self._leadership.request_pass()
        except Exception:
            log.exception("event=provisioning_crashed request=%s", name)
        finally:
            self._provisioning.discard(name)

    async def _delete(self, planner: LeaderPlanner, machines: list[MachineId]) -> None:
        try:
            status, _ = await self._call("POST", "/hosts/delete", encode_deletion_request(machines))
            if status == 200:
                planner.record_deleted_machines(machines)
                # Tasks of a deleted machine can start elsewhere once its record is removed.
                self._leadership.request_pass(urgent=True)
            else:
                log.info("event=deletion_failed count=%d status=%d", len(machines), status)
                await anyio.sleep(FAILURE_BACKOFF_S)
        except Exception:
            log.exception("event=deletion_crashed")
        finally:
            self._deleting.difference_update(machines)

    async def _refresh_catalog(self, planner: LeaderPlanner) -> bool:
        """Fetch the catalog for the planner; return whether this succeeded."""
        status, response_body = await self._call("GET", "/catalog", None)
        try:
            if status == 200:
                planner.receive_catalog(parse_catalog(response_body))
                self._leadership.request_pass()
                return True
        except Exception as err:  # noqa: BLE001 a malformed catalog must not stop the other calls
            log.error("event=catalog_malformed error=%s", err)
        return False

    async def _refresh_machine_list(self, planner: LeaderPlanner) -> None:
        machines: list[ListedMachine] = []
        since = ""
        try:
            while True:
                target = f"/hosts?limit={PAGE_SIZE}" + (f"&since={since}" if since else "")
                status, response_body = await self._call("GET", target, None)
                if status != 200:
                    return
                page = parse_machine_list(response_body)
                machines += page.machines
                if not page.more or not page.machines or len(machines) > MAX_LISTED_MACHINES:
                    break
                since = page.machines[-1].machine
            planner.receive_machine_list(self._now(), MachineList(machines))
        except Exception as err:  # noqa: BLE001 a malformed list must not stop the other calls
            log.error("event=machine_list_malformed error=%s", err)
