"""The paths of the HTTP interface, and whether this controller is healthy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dapplewick.controller.latencies import Latencies
from dapplewick.controller.overload import OverloadMonitor
from dapplewick.controller.record_follower import RecordFollower
from dapplewick.controller.user_api import JOBS_PATH, NO_METHOD, NO_PATH, UserApi
from dapplewick.controller.worker_endpoint import WorkerEndpoint
from dapplewick.coordination.peer_exchange import PeerExchange
from dapplewick.transport.http import Request, Response
from dapplewick.types import Seconds

HEARTBEAT_PATH = "/checkin"
HEALTH_PATH = "/healthz"
# A controller that did not reach the state service for so long, while a peer did, is unhealthy.
MAX_CONTACT_AGE_S = 5.0

HEALTHY = Response(200)
UNHEALTHY = Response(503, b"{}", 1)
OVERLOADED = Response(503, b'{"error":"overloaded"}', 2)


@dataclass(eq=False, kw_only=True)
class Router:
    """Gives each request to what answers it."""

    records: RecordFollower
    overload: OverloadMonitor
    peers: PeerExchange
    worker_endpoint: WorkerEndpoint
    user_api: UserApi
    latencies: Latencies
    now: Callable[[], Seconds]

    async def handle(self, request: Request) -> Response:
        """Answer a worker's, a user's or the platform's request."""
        path = request.target.partition("?")[0]
        if path == HEARTBEAT_PATH:
            return self.worker_endpoint.answer(request) if request.method == "POST" else NO_METHOD
        if path == HEALTH_PATH:
            if request.method != "GET":
                return NO_METHOD
            return HEALTHY if self.is_healthy() else UNHEALTHY
        started_at = self.now()
        if self.overload.is_overloaded() and path.startswith(JOBS_PATH):
            # Answering costs most of what a refusal does not, and workers' leases need it.
            return OVERLOADED
        answer = await self.user_api.handle(request)
        if answer is None:
            return NO_PATH
        self.latencies.record("submit" if path == JOBS_PATH else "poll", self.now() - started_at)
        return answer

    def is_healthy(self) -> bool:
        """Whether users are served here as well as anywhere."""
        if not self.records.ready or self.overload.is_overloaded():
            return False
        now = self.now()
        if now - self.records.contact_at < MAX_CONTACT_AGE_S:
            return True
        # Cut off alone, this controller sends its users elsewhere. In an outage for all it stays:
        # being taken out would cost seconds more when the state service is back. Contacts are
        # a renewal apart at most, so in an outage no peer still claims one by now.
        return not self.peers.any_peer_reaches_state_service(now)
