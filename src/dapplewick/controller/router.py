"""Routes HTTP requests by path, and decides whether this controller is healthy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dapplewick.controller.latencies import LatencyHistograms
from dapplewick.controller.overload import OverloadMonitor
from dapplewick.controller.record_follower import RecordFollower
from dapplewick.controller.user_api import JOBS_PATH, NO_METHOD, NO_PATH, UserApi
from dapplewick.controller.worker_endpoint import WorkerEndpoint
from dapplewick.coordination.peer_exchange import PeerExchange
from dapplewick.transport.http import Request, Response
from dapplewick.types import Seconds

HEARTBEAT_PATH = "/checkin"
HEALTH_PATH = "/healthz"
# A controller that has had no contact with the state service for longer is unhealthy, if a peer has
# contact.
MAX_CONTACT_AGE_S = 5.0

HEALTHY = Response(200)
UNHEALTHY = Response(503, b"{}", 1)
OVERLOADED = Response(503, b'{"error":"overloaded"}', 2)


@dataclass(eq=False, kw_only=True)
class Router:
    """Passes each HTTP request to the component that handles it."""

    records: RecordFollower
    overload: OverloadMonitor
    peers: PeerExchange
    worker_endpoint: WorkerEndpoint
    user_api: UserApi
    latencies: LatencyHistograms
    now: Callable[[], Seconds]

    async def handle(self, request: Request) -> Response:
        """Handle a request of a worker, a user or the platform."""
        path = request.target.partition("?")[0]
        if path == HEARTBEAT_PATH:
            return self.worker_endpoint.handle(request) if request.method == "POST" else NO_METHOD
        if path == HEALTH_PATH:
            if request.method != "GET":
                return NO_METHOD
            return HEALTHY if self.is_healthy() else UNHEALTHY
        started_at = self.now()
        if self.overload.is_overloaded() and path.startswith(JOBS_PATH):
            # Refusing users' requests saves most of their processor time, which heartbeats need to
            # keep workers' leases alive.
            return OVERLOADED
        response = await self.user_api.handle(request)
        if response is None:
            return NO_PATH
        self.latencies.record("submit" if path == JOBS_PATH else "poll", self.now() - started_at)
        return response

    def is_healthy(self) -> bool:
        """Whether this controller can serve users at least as well as its peers."""
        if not self.records.ready or self.overload.is_overloaded():
            return False
        now = self.now()
        if now - self.records.contact_at < MAX_CONTACT_AGE_S:
            return True
        # If only this controller has lost contact with the state service, the platform should route
        # users to its peers. If all controllers have lost contact, this one stays healthy, since
        # being taken out of service would cost further seconds once the state service recovers.
        # Each controller contacts the state service at least once per lease renewal, so by now no
        # peer still reports a contact from before such an outage.
        return not self.peers.any_peer_reaches_state_service(now)
