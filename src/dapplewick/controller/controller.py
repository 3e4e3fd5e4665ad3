"""One controller: creates its components, connects them and runs their loops."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc

from dapplewick.config import Settings, parse_host_port
from dapplewick.controller.budgets import Budgets, budgets_of, max_client_sockets
from dapplewick.controller.cloud_calls import CloudCaller
from dapplewick.controller.latencies import LatencyHistograms
from dapplewick.controller.leader_loop import LeaderLoop
from dapplewick.controller.leader_writer import LeaderWriter
from dapplewick.controller.overload import OverloadMonitor
from dapplewick.controller.owned_shards import OwnedShards
from dapplewick.controller.partition_host import PartitionHost
from dapplewick.controller.partition_service_selector import (
    PartitionServiceSelector,
    supported_format,
)
from dapplewick.controller.peer_endpoint import PeerEndpoint
from dapplewick.controller.record_change_notifier import RecordChangeNotifier
from dapplewick.controller.record_follower import RecordFollower
from dapplewick.controller.record_limits import RecordLimits
from dapplewick.controller.router import Router
from dapplewick.controller.shard_loop import ShardLoop
from dapplewick.controller.status import StatusReporter
from dapplewick.controller.supervision import run_supervised
from dapplewick.controller.user_api import UserApi
from dapplewick.controller.worker_endpoint import WorkerEndpoint
from dapplewick.coordination.cancellation_exchange import CancellationExchange
from dapplewick.coordination.election import Election
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.leader_isolation import LeaderIsolation
from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.peer_exchange import PeerExchange
from dapplewick.coordination.presence import Presence
from dapplewick.coordination.shard_assignment import ShardAssigner
from dapplewick.coordination.status_confirmations import StatusConfirmationTable
from dapplewick.coordination.wake import WakeSignal
from dapplewick.core.estimates import Estimates
from dapplewick.core.invariants import InvariantCounts
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.storage.rate_limiter import RateLimiter
from dapplewick.storage.state_client import StateClient
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.transport.http import Request, Response, serve_connection
from dapplewick.transport.http_client import HttpClient
from dapplewick.transport.listen import ConnectionAcceptor, IdleCallback
from dapplewick.transport.peer import PeerLink, receive_frames
from dapplewick.tuning import Tuning
from dapplewick.types import ControllerName, FencingToken, Seconds, ShardName

if TYPE_CHECKING:
    from dapplewick.partitions.service import PartitionService

MIN_WRITE_BURST = 6.0  # enough for each controller to accept a burst of simultaneous submissions
PEER_LISTEN_BACKLOG = 64


class Controller:
    """One controller process: its components and the tasks that run them.

    Components are created in the order of their dependencies: tracking of records, coordination
    with peers, endpoints for requests, and the loops of the leader, the shards and the cloud calls.
    Each component depends only on earlier ones.

    Args:
        settings: the settings of the deployment and of this controller.
        connect: creates an HTTP client for a host and a port.
        link: creates the link to the peer at a host and a port.
        clock: the monotonic clock, in seconds.
        wall_time: the wall clock, in seconds since the Unix epoch.
        seed: the seed of this controller's random numbers.
        tuning: parameters set by the operators' script; None: the defaults.
        partitions: the partition service; None: partitions are disabled.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        connect: Callable[[str, int], HttpClient] = HttpClient,
        link: Callable[[str, int], PeerLink] = PeerLink,
        clock: Callable[[], Seconds] = time.monotonic,
        wall_time: Callable[[], Seconds] = time.time,
        seed: int | None = None,
        tuning: Tuning | None = None,
        partitions: PartitionService | None = None,
    ) -> None:
        self.settings = settings
        self.tuning = tuning or Tuning()
        self.now = clock
        self.wall_time = wall_time
        self._random = random.Random(seed)
        self.identity = Identity(
            ControllerName(settings.host_name),
            settings.zone,
            f"{time.time_ns():x}-{self._random.getrandbits(32):x}",
        )
        budgets = budgets_of(settings.deployment)
        self._create_service_clients(connect, budgets)
        self._create_record_tracking(budgets)
        self._create_peer_coordination(link, partitions, budgets)
        self._create_endpoints(partitions)
        self._create_loops()

    def _create_service_clients(
        self, connect: Callable[[str, int], HttpClient], budgets: Budgets
    ) -> None:
        """Create the clients of the state service and the cloud."""
        outside = self.settings.outside
        self.state = StateClient(
            connect(*parse_host_port(outside.state, "outside.state")),
            budgets.calls_per_s,
            budgets.writes_per_s.following,
            MIN_WRITE_BURST,
        )
        self.cloud = connect(*parse_host_port(outside.cloud, "outside.cloud"))
        self.cloud_budget = RateLimiter(budgets.cloud_calls_per_s)

    def _create_record_tracking(self, budgets: Budgets) -> None:
        """Create the watch cache, and the components that use or update it."""
        deployment = self.settings.deployment
        self.cache = WatchCache()
        self.limits = RecordLimits(deployment.state, self.cache)
        self.estimates = Estimates()
        self.leadership = Leadership()
        self.invariants = InvariantCounts()
        self.assigner = ShardAssigner(self.cache, deployment.zones, self.identity.name)
        self._owned_shards = OwnedShards(
            self.identity, self.cache, self.assigner, self.estimates, deployment, self.tuning
        )
        self.gossip_wake = WakeSignal()
        self.records = RecordFollower(
            self.identity,
            self.state,
            self.cache,
            RecordChangeNotifier(self.cache, self._owned_shards, self.leadership),
            budgets=budgets,
            gossip_wake=self.gossip_wake,
            now=self.now,
            rng=self._random,
        )

    def _create_peer_coordination(
        self,
        link: Callable[[str, int], PeerLink],
        partitions: PartitionService | None,
        budgets: Budgets,
    ) -> None:
        """Create the components that coordinate this controller with its peers."""
        self.links = {
            ControllerName(peer.host_name): link(
                *parse_host_port(peer.peer_addr, "peers.peer_addr")
            )
            for peer in self.settings.peers
        }
        self.presence = Presence(
            self.identity,
            self.state,
            self.records,
            format_version=supported_format(partitions),
            now=self.now,
            rng=self._random,
        )
        self.election = Election(
            self.identity,
            self.state,
            self.records,
            self.presence,
            self.leadership,
            write_rates=budgets.writes_per_s,
            rng=self._random,
        )
        self.cancellations = CancellationExchange(
            self.identity.incarnation, self.links, self.settings.deployment.count
        )
        self.confirmations = StatusConfirmationTable(self.cache)
        self.peers = PeerExchange(
            self.identity,
            self.links,
            self.records,
            self.cancellations,
            self.shard_schedulers,
            wake=self.gossip_wake,
            now=self.now,
            rng=self._random,
        )

    def _create_endpoints(self, partitions: PartitionService | None) -> None:
        """Create the endpoints for peers, operators and HTTP clients."""
        deployment = self.settings.deployment
        self.latencies = LatencyHistograms()
        self.overload = OverloadMonitor(self.now)
        self.partitions = self._create_partition_service_selector(partitions)
        user_api = UserApi(
            deployment,
            self.records,
            self.state,
            self.peers,
            self.partitions,
            self.limits,
            self.wall_time,
        )
        self.status = StatusReporter(
            identity=self.identity,
            records=self.records,
            presence=self.presence,
            peers=self.peers,
            state=self.state,
            cloud_budget=self.cloud_budget,
            schedulers=self.shard_schedulers,
            latencies=self.latencies,
            invariants=self.invariants,
            leadership=self.leadership,
            now=self.now,
        )
        self._create_http_endpoints(user_api)
        self._peer_endpoint = PeerEndpoint(
            leadership=self.leadership,
            exchange=self.peers,
            confirmations=self.confirmations,
            partitions=self.partitions,
            status=self.status,
            user_api=user_api,
            now=self.now,
        )

    def _create_http_endpoints(self, user_api: UserApi) -> None:
        """Create the endpoints for HTTP requests of workers, users and the platform."""
        worker_endpoint = WorkerEndpoint(
            identity=self.identity,
            records=self.records,
            schedulers=self.shard_schedulers,
            presence=self.presence,
            leadership=self.leadership,
            peers=self.peers,
            cancellations=self.cancellations,
            worker_times=self.settings.deployment.workers,
            now=self.now,
        )
        self._router = Router(
            records=self.records,
            overload=self.overload,
            peers=self.peers,
            worker_endpoint=worker_endpoint,
            user_api=user_api,
            latencies=self.latencies,
            now=self.now,
        )

    def _create_partition_service_selector(
        self, partitions: PartitionService | None
    ) -> PartitionServiceSelector:
        host = PartitionHost(
            settings=self.settings,
            estimates=self.estimates,
            cache=self.cache,
            state=self.state,
            links=self.links,
            now=self.now,
            wall_time=self.wall_time,
            identity=self.identity,
            leadership=self.leadership,
            records=self.records,
            limits=self.limits,
        )
        return PartitionServiceSelector(
            partitions, host, self.cache, self.settings.deployment.zones
        )

    def _create_loops(self) -> None:
        """Create the loops of the leader, the shards and the cloud calls."""
        self.shard_loop = ShardLoop(
            self.identity,
            self.records,
            self.shard_schedulers,
            self.leadership,
            self.confirmations,
            self.links,
            now=self.now,
            wall_time=self.wall_time,
        )
        writer = LeaderWriter(self.election, self.leadership, self.state.write_budget, self.limits)
        self._leader_loop = LeaderLoop(
            identity=self.identity,
            records=self.records,
            election=self.election,
            leadership=self.leadership,
            assigner=self.assigner,
            reachability=self.peers.reachability,
            isolation=LeaderIsolation(self.cache, self.identity.name),
            owned_shards=self._owned_shards,
            confirmations=self.confirmations,
            partitions=self.partitions,
            writer=writer,
            new_planner=self._new_planner,
            now=self.now,
            wall_time=self.wall_time,
            rng=self._random,
        )
        self.cloud_calls = CloudCaller(
            self.cloud,
            self.cloud_budget,
            self.cache,
            self.leadership,
            self.presence,
            self.now,
        )

    def _new_planner(self, epoch: FencingToken, now: Seconds) -> LeaderPlanner:
        """Create the planner for a new leadership term."""
        return LeaderPlanner(
            self.cache,
            self.settings,
            self.estimates,
            epoch,
            now,
            self.tuning,
            self.partitions.shard_names(),
            self.invariants,
        )

    @property
    def ready(self) -> bool:
        """Whether the records have been read at least once."""
        return self.records.ready

    @property
    def leader(self) -> LeaderPlanner | None:
        """The planner of the current leadership term; None if this process does not lead."""
        return self.leadership.planner

    @property
    def shard_schedulers(self) -> dict[ShardName, ShardScheduler]:
        """The schedulers of the shards that this process owns."""
        return self._owned_shards.schedulers

    async def handle(self, request: Request) -> Response:
        """Handle an HTTP request of a worker, a user or the platform."""
        return await self._router.handle(request)

    async def on_request(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """Handle a message on a peer connection; return the response, if its kind has one.

        Raises:
            ValueError: the message is malformed.
        """
        return await self._peer_endpoint.on_request(message)

    def on_message(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """Handle a peer message whose kind needs no I/O; return the response, if its kind has one.

        Raises:
            ValueError: the message is malformed.
        """
        return self._peer_endpoint.on_message(message)

    async def run(self) -> None:
        """Listen for clients and peers, and run all loops, until cancelled.

        Raises:
            OSError: a listen address is unavailable.
        """
        deployment = self.settings.deployment
        max_client_connections = max_client_sockets(deployment)
        host, port = parse_host_port(self.settings.client_listen, "client_listen")
        client_listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=max_client_connections
        )
        host, port = parse_host_port(self.settings.peer_listen, "peer_listen")
        peer_listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=PEER_LISTEN_BACKLOG
        )
        max_peer_connections = 8 + 4 * deployment.count

        def serve(stream: anyio.abc.ByteStream, set_idle: IdleCallback) -> Awaitable[None]:
            return serve_connection(stream, self.handle, set_idle)

        def receive(stream: anyio.abc.ByteStream, _set_idle: IdleCallback) -> Awaitable[None]:
            return receive_frames(stream, self.on_request)

        async with anyio.create_task_group() as group:
            group.start_soon(self.run_loops)
            group.start_soon(ConnectionAcceptor(max_peer_connections, receive).run, peer_listener)
            await ConnectionAcceptor(max_client_connections, serve).run(client_listener)

    async def run_loops(self) -> None:
        """Run all background loops until cancelled; requests are not served here."""
        async with anyio.create_task_group() as group:
            for link in self.links.values():
                group.start_soon(link.run)
            if self.partitions.service is not None:
                group.start_soon(run_supervised, "run", self.partitions.service.run)
            # The names identify a crashed loop in the log (event=loop_crashed).
            for name, loop in (
                ("_lease_loop", self.presence.run),
                ("_watch_loop", self.records.run_watch),
                ("_check_loop", self.records.run_checks),
                ("_leader_loop", self._leader_loop.run),
                ("_cloud_loop", self.cloud_calls.run),
                ("_shard_loop", self.shard_loop.run),
                ("_gossip_loop", self.peers.run),
                ("_overload_loop", self.overload.run),
            ):
                group.start_soon(run_supervised, name, loop)
