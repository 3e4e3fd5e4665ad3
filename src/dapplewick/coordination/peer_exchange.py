"""Gossip between controllers, and forwarding of users' requests to a peer."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import anyio
from msgspec import UnsetType

from dapplewick.coordination.cancellation_exchange import CancellationExchange, CancellationMessage
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.peer_reachability import PeerReachability
from dapplewick.coordination.records import Records
from dapplewick.coordination.wake import WakeSignal
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol import peers
from dapplewick.protocol.peers import (
    ForwardedRequest,
    ForwardedResponse,
    Gossip,
    ShardStatus,
    StatusConfirmation,
)
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.keys import SHARDS
from dapplewick.transport.http import Request, Response
from dapplewick.transport.peer import PeerLink
from dapplewick.types import ControllerName, FencingToken, JobId, Seconds, ShardName

GOSSIP_INTERVAL_S = 1.0
GOSSIP_AFTER_CANCELLATION_S = 0.1
# Gossip reports the state service as reachable if it responded within this time.
STATE_CONTACT_MAX_AGE_S = 2.5
# Requests are forwarded only to peers that reported within this time that they reach the state
# service.
FORWARD_REPORT_MAX_AGE_S = 2.5
FORWARDED_TIMEOUT_S = 1.0
# A peer's report that it reaches the state service counts as current for this time.
REPORT_MAX_AGE_S = 1.5


class StateServiceReport(NamedTuple):
    """A peer's last report on whether it reaches the state service."""

    received_at: Seconds  # by this process's monotonic clock
    reaches_state_service: bool


class ReportedOwner(NamedTuple):
    """The owner of a shard with the newest fencing token that any peer has reported."""

    token: FencingToken
    controller: ControllerName


NO_REPORTED_OWNER = ReportedOwner(FencingToken(0), ControllerName(""))


class PeerExchange:
    """Sends gossip to the peers, and keeps the state received from them.

    Attributes:
        state_service_reports: each peer's last report on whether it reaches the state service.
        reachability: the last contact with each present controller.
        reported_owners: the newest owner of each shard that any peer has reported.
        running_by_controller: the number of running tasks of each job, by reporting controller.
    """

    def __init__(
        self,
        identity: Identity,
        links: Mapping[ControllerName, PeerLink],
        records: Records,
        cancellations: CancellationExchange,
        schedulers: Mapping[ShardName, ShardScheduler],
        *,
        wake: WakeSignal,
        now: Callable[[], Seconds],
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._links = links
        self._records = records
        self._cancellations = cancellations
        self._schedulers = schedulers
        self._wake = wake
        self._now = now
        self._random = rng
        self.state_service_reports: dict[ControllerName, StateServiceReport] = {}
        self.reachability = PeerReachability(identity.name)
        self.reported_owners: dict[ShardName, ReportedOwner] = {}
        self.running_by_controller: dict[ControllerName, dict[JobId, int]] = {}

    async def run(self) -> None:
        """Send gossip once per `GOSSIP_INTERVAL_S` and soon after a cancellation; never returns."""
        while True:
            with anyio.move_on_after(GOSSIP_INTERVAL_S):
                await self._wake.wait()
                await anyio.sleep(GOSSIP_AFTER_CANCELLATION_S)
            self._wake.clear()
            self.reachability.record_presence(self._now(), self._records.cache.controllers)
            self._post_gossip()

    def _post_gossip(self) -> None:
        gossip = Gossip(
            controller=self._identity.name,
            version=CURRENT_FORMAT,
            running=self._count_running(),
            shards=self._known_owners(),
            reaches_state_service=self._now() - self._records.contact_at < STATE_CONTACT_MAX_AGE_S,
        )
        cancellations = self._cancellations.message(
            self._now(), self._records.cache, self._records.ready
        )
        message = peers.encode(gossip) | peers.encode(cancellations)
        for link in self._links.values():
            link.post(gossip.kind, message)

    def _count_running(self) -> dict[JobId, int]:
        """Count the running tasks of this controller's shards."""
        running: dict[JobId, int] = {}
        for scheduler in self._schedulers.values():
            for job, count in scheduler.running_counts():
                running[job] = running.get(job, 0) + count
        self.running_by_controller[self._identity.name] = running
        return running

    def _known_owners(self) -> dict[ShardName, tuple[FencingToken, ControllerName]]:
        cache = self._records.cache
        return {
            name: (FencingToken(cache.version(SHARDS + name)), ControllerName(shard.owner))
            for name, shard in cache.shards.items()
        }

    def receive_gossip(self, message: Mapping[str, Any]) -> None:
        """Process a peer's gossip.

        Raises:
            ValueError: the message is malformed.
        """
        gossip = peers.decode(message, Gossip)
        controller = gossip.controller
        self.reachability.record_contact(self._now(), controller)
        self.state_service_reports[controller] = StateServiceReport(
            self._now(), gossip.reaches_state_service
        )
        self.running_by_controller[controller] = gossip.running
        for shard, (token, owner) in gossip.shards.items():
            if token > self.reported_owner(shard).token:
                self.reported_owners[shard] = ReportedOwner(token, owner)
        if "heard" in message:  # the first versions of dapplewick send no cancellations
            cancellations = peers.decode(message, CancellationMessage)
            self._cancellations.receive(
                self._now(), self._identity.name, controller, cancellations, self._records.cache
            )
        self._records.apply_changed()

    def reported_owner(self, shard: ShardName) -> ReportedOwner:
        """The newest owner that peers reported for a shard; may be newer than the watch cache."""
        return self.reported_owners.get(shard, NO_REPORTED_OWNER)

    def running_tasks(self, job: JobId) -> int:
        """The number of running tasks of a job in all shards, by the newest reports."""
        return sum(counts.get(job, 0) for counts in self.running_by_controller.values())

    def any_peer_reaches_state_service(self, now: Seconds) -> bool:
        """Whether any peer has recently reported that it reaches the state service."""
        return any(
            now - report.received_at < REPORT_MAX_AGE_S and report.reaches_state_service
            for report in self.state_service_reports.values()
        )

    def confirm_status(self, status: ShardStatus, number: int) -> None:
        """Confirm to a shard's owner that this leader has the shard's statuses up to `number`."""
        if isinstance(status.controller, UnsetType):
            return
        link = self._links.get(status.controller)
        if link is None:
            return
        confirmation = StatusConfirmation(
            shard=status.shard,
            token=status.token,
            incarnation=self._identity.incarnation,
            number=number,
            version=CURRENT_FORMAT,
        )
        link.post(f"{confirmation.kind}:{status.shard}", peers.encode(confirmation))

    async def forward(self, request: Request) -> Response | None:
        """Forward a user's request to a random peer that reaches the state service.

        Returns:
            The peer's response; None if no peer has recently reported that it reaches the state
            service, or if the peer does not respond in time or responds with status 503.
        """
        now = self._now()
        eligible = [
            controller
            for controller, report in self.state_service_reports.items()
            if report.reaches_state_service
            and now - report.received_at < FORWARD_REPORT_MAX_AGE_S
            and controller in self._links
        ]
        if not eligible:
            return None
        forwarded = ForwardedRequest(
            method=request.method, target=request.target, body=request.body
        )
        link = self._links[self._random.choice(eligible)]
        reply = await link.request(peers.encode(forwarded), FORWARDED_TIMEOUT_S)
        if reply is None or reply.get("status") in (None, 503):
            return None
        response = peers.decode(reply, ForwardedResponse)
        return Response(response.status, response.body, response.retry_after)
