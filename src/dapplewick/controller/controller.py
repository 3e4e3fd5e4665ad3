"""A controller: it joins transport, storage and coordination to the cores."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc
import msgspec

from dapplewick.config import Settings, StateLimits, host_port
from dapplewick.controller.cloud_calls import CloudCalls
from dapplewick.controller.latencies import Latencies
from dapplewick.controller.status import controller_status
from dapplewick.controller.user_api import NO_METHOD, NO_PATH, PATH, Api
from dapplewick.coordination.cancellation_exchange import CancellationWatch
from dapplewick.coordination.election import Election, WriteRates
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.peer_exchange import PeerExchange
from dapplewick.coordination.presence import Presence
from dapplewick.coordination.shard_assignment import ShardAssigner
from dapplewick.coordination.status_confirmations import Confirmation, StatusConfirmations
from dapplewick.coordination.wake import Wake
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.job_writes import PRIORITY_PROGRESS
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol import peers
from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.protocol.peers import (
    ForwardedRequest,
    ForwardedResponse,
    ShardStatus,
    StatusConfirmation,
)
from dapplewick.protocol.workers import encode_heartbeat_response, encode_redirect, parse_heartbeat
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    RevisionCompactedError,
    TransactionConflictError,
    ValueTooLargeError,
)
from dapplewick.storage.formats import FORMAT_NOW, PARTITIONS_FORMAT
from dapplewick.storage.job_records import CANCELLED
from dapplewick.storage.keys import JOBS, ROOT, SHARDS, job_of
from dapplewick.storage.rate_limiter import RateLimiter
from dapplewick.storage.read_checks import ReadChecks
from dapplewick.storage.state_client import CALL_S, StateClient
from dapplewick.storage.transactions import first_whole_groups, split_into_transactions
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.transport.http import Answer, Request, serve_connection
from dapplewick.transport.http_client import HttpClient
from dapplewick.transport.listen import ConnectionAcceptor, IdleCallback
from dapplewick.transport.peer import PeerLink, receive_frames
from dapplewick.tuning import Tuning
from dapplewick.types import ControllerName, FencingToken, JobId, Seconds, ShardName, partition_of

if TYPE_CHECKING:
    from dapplewick.partitions.service import PartitionService

log = logging.getLogger("dapplewick.controller.controller")

WATCH_MS = 4000
CURRENT_S = 9.0  # with records older than this, nothing is launched
FOLLOWED_S = 6.0  # an open watch answers sooner than that, unless there is an outage
MARGIN_S = 3.0
PASS_S = 0.25
CAMPAIGN_INTERVAL_S = 0.3  # a controller that does not lead looks this often whether it should
TICK_S = 0.2  # parts tick, and tell what changed, this often
TICK_MOST_S = 0.5  # or less often where that costs much; reports steal what joined no queue yet
TICK_REST = 40.0  # after a tick this times its length passes
IDLE_S = 0.5  # and without a part
STATUS_IDLE_S = 1.5
UNHEALTHY_S = 5.0  # and one that did not for so long, while a peer did, is not healthy
SHARE = 0.9  # of the state service's limits that all controllers use together
LEADER_WRITES = 0.8  # of them the leader's share
LEAST_BURST = 6.0  # users come at once, so each node may accept some at once
WATCH_SHARE = 0.35  # of this node's requests: a watch is opened anew after each change
PROGRESS_RESERVE = 0.3  # of a second's writes are left by them for what users wait for
OVERLOAD_SAMPLE_S = 0.25
MAX_OVERLOAD_S = 1.0  # a node that is later than this with what is due takes nothing from users
OWN_SOCKETS = 64  # kept for the state service, the cloud and what a process has open anyway
LEAST_SOCKETS = 16  # for workers and users, however low the limit is
REST = 20.0  # after a pass the leader leaves the processor alone for this times as long
REST_MOST_S = 0.8  # but no longer than this
CHECK_S = 0.25  # polls of this long share a look whether the mirror is current
STANDBY_WATCH_S = 0.4  # a controller that neither leads nor owns a part follows in these steps


OVERLOADED = Answer(503, b'{"error":"overloaded"}', 2)


class Controller:
    """One controller process."""

    def __init__(
        self,
        settings: Settings,
        *,
        connect: Callable[[str, int], HttpClient] = HttpClient,
        link: Callable[[str, int], PeerLink] = PeerLink,
        clock: Callable[[], Seconds] = time.monotonic,
        seed: int | None = None,
        tuning: Tuning | None = None,
        partitions: PartitionService | None = None,
    ) -> None:
        self.tuning = tuning or Tuning()
        self.latencies = Latencies()
        self.settings = settings
        self.now = clock
        self.random = random.Random(seed)
        self.identity = Identity(
            ControllerName(settings.host_name),
            settings.zone,
            f"{time.time_ns():x}-{self.random.getrandbits(32):x}",
        )
        deployment = settings.deployment
        host, port = host_port(settings.outside.state, "outside.state")
        # The lower of the limits of now and of later, from the start: both are kept to before
        # and after a moment that comes without notice.
        self._limits = deployment.state.lowest()
        rps = self._limits.rps * SHARE / deployment.count
        writes = self._limits.write_rps * SHARE
        write_rates = WriteRates(
            following=writes * (1 - LEADER_WRITES) / max(1, deployment.count - 1),
            leading=writes * LEADER_WRITES,
        )
        self.state = StateClient(connect(host, port), rps, write_rates.following, LEAST_BURST)
        self._read_checks = ReadChecks(
            lambda: self._follow(0), clock, max(CHECK_S, 1.0 / (0.4 * rps))
        )
        self._watch_gap = 1.0 / (WATCH_SHARE * rps)
        host, port = host_port(settings.outside.cloud, "outside.cloud")
        self.cloud = connect(host, port)
        self.cloud_budget = RateLimiter(deployment.cloud.rps * 0.8)
        self.cache = WatchCache()
        self.cache.listeners.append(self._on_key)
        self._changed: list[str] = []
        self.ready = False
        self.current_at = -1e9
        self.contact_at = -1e9
        self._late = 0.0  # how late this node was with what was due, fading
        self._due = 1e18  # and when the next thing is due
        self.shard_schedulers: dict[ShardName, ShardScheduler] = {}
        self.estimates = Estimates()
        self.leadership = Leadership()
        self.assigner = ShardAssigner(self.cache, deployment.zones, self.identity.name)
        self.api = Api(self, deployment)
        self.links: dict[ControllerName, PeerLink] = {}
        for peer in settings.peers:
            self.links[ControllerName(peer.host_name)] = link(
                *host_port(peer.peer_addr, "peers.peer_addr")
            )
        self.presence = Presence(
            self.identity,
            self.state,
            self,
            format_version=PARTITIONS_FORMAT if partitions is not None else FORMAT_NOW,
            now=clock,
            rng=self.random,
        )
        self.election = Election(
            self.identity,
            self.state,
            self,
            self.presence,
            self.leadership,
            write_rates=write_rates,
            rng=self.random,
        )
        self.cancellations = CancellationWatch(
            self.identity.incarnation, self.links, deployment.count
        )
        self._gossip_wake = Wake()
        self.confirmations = StatusConfirmations(self.cache)
        self.peers = PeerExchange(
            self.identity,
            self.links,
            self,
            self.cancellations,
            self.shard_schedulers,
            wake=self._gossip_wake,
            now=clock,
            rng=self.random,
        )
        self._pass_took = 0.0
        self._status_at: dict[ShardName, Seconds] = {}
        self._cloud_calls = CloudCalls(self)
        self.partitions = partitions  # None where they are switched off
        self._dissolver: PartitionService | None = None
        if partitions is not None:
            partitions.attach(self)

    # Shares of zones

    def _partition_service(self) -> PartitionService | None:
        """What moves machines between shares. Where they are switched off, but some are left from
        before, one without a plan brings all machines back to the zones' own parts."""
        if self.partitions is not None:
            return self.partitions
        if not self.cache.transfers and not any(map(partition_of, self.cache.shards)):
            self._dissolver = None
        elif self._dissolver is None:
            from dapplewick.partitions.service import PartitionService

            self._dissolver = PartitionService(None)
            self._dissolver.attach(self)
        return self._dissolver

    def shard_names(self) -> list[str]:
        """The parts that records of jobs may have to name."""
        zones = self.settings.deployment.zones
        return zones if self.partitions is None else self.partitions.shard_names(zones)

    # Time

    @staticmethod
    def wall() -> Seconds:
        return time.time()

    def mark_contact(self) -> None:
        self.contact_at = self.now()

    @property
    def leader(self) -> LeaderPlanner | None:
        return self.leadership.planner

    @property
    def own_name(self) -> ControllerName:
        return self.identity.name

    def lease_valid(self) -> bool:
        return self.presence.lease_valid()

    def wake_leader(self, at_once: bool = False) -> None:
        self.leadership.wake(at_once)

    # The mirror

    def _on_key(self, key: str) -> None:
        self._changed.append(key)

    def apply_changed(self) -> None:
        """Tell the cores of changed records; parts first: who owns them decides the rest."""
        if not self._changed:
            return
        keys, self._changed = dict.fromkeys(self._changed), []
        machines, self.cache.changed_machines = dict.fromkeys(self.cache.changed_machines), []
        now = self.now()
        if any(k.startswith(SHARDS) for k in keys):
            self._update_owned_shards(now)
        jobs = dict.fromkeys(job for key in keys if (job := job_of(key)) is not None)
        if self.leader is not None and any(self._is_new_service(job) for job in jobs):
            self.leadership.urgent_wake.set()
        for scheduler in self.shard_schedulers.values():
            for job_id in jobs:
                scheduler.job_changed(now, job_id)
            for machine in machines:
                scheduler.machine_changed(now, machine)
        self.leadership.pass_wake.set()

    def _is_new_service(self, job_id: JobId) -> bool:
        """Users wait for its first replicas: the leader does not rest first."""
        job = self.cache.jobs.get(job_id)
        return job is not None and job.spec.is_service and job.open and not job.assignments

    def _update_owned_shards(self, now: Seconds) -> None:
        for name in dict.fromkeys([*self.shard_schedulers, *self.assigner.shards()]):
            shard = self.cache.shards.get(name)
            token = FencingToken(self.cache.version(SHARDS + name))
            mine = (
                shard is not None
                and shard.owner == self.identity.name
                and shard.incarnation == self.identity.incarnation
            )
            scheduler = self.shard_schedulers.get(name)
            if scheduler is not None and (not mine or scheduler.token != token):
                del self.shard_schedulers[name]
                log.info("event=shard_lost shard=%s token=%d", name, scheduler.token)
            if mine and (scheduler is None or scheduler.token != token):
                self.shard_schedulers[name] = ShardScheduler(
                    name,
                    token,
                    self.cache,
                    self.estimates,
                    now,
                    tuning=self.tuning,
                    aimed=self.settings.deployment.aimed(),
                    lease_s=self.settings.deployment.workers.lease_s,
                    report_s=self.settings.deployment.workers.report_s,
                )
                log.info("event=shard_acquired shard=%s token=%d", name, token)

    def stored(self, key: str, value: object, version: int) -> None:
        """A write of our own is known done."""
        self.cache.put(key, value, version)
        if key.startswith(JOBS) and isinstance(value, dict) and value.get("stage") == CANCELLED:
            # Owners that can't read the records stop its tasks sooner; no rule rests on it.
            self._gossip_wake.set()
        self.apply_changed()

    async def _load(self) -> None:
        sent = self.now()
        items, revision = await self.state.listing(ROOT)
        self.cache.reload(items, revision)
        self.current_at = self.contact_at = sent
        self.apply_changed()
        if not self.ready:
            self.ready = True
            log.info(
                "event=controller_ready controller=%s revision=%d", self.identity.name, revision
            )

    async def _follow(self, wait_ms: int) -> None:
        """Bring the mirror up to the newest changes."""
        sent = self.now()
        try:
            changes = await self.state.changes(ROOT, self.cache.revision, wait_ms)
        except RevisionCompactedError:
            await self._load()
            return
        self.cache.follow(changes.events, changes.revision)
        self.current_at = max(self.current_at, sent)
        self.contact_at = self.now()
        self.apply_changed()

    async def _watch_loop(self) -> None:
        while True:
            try:
                if not self.ready:
                    await self._load()
                await self._follow(WATCH_MS)
                # What changes meanwhile comes with the next answer, in one request.
                busy = self.shard_schedulers or self.leader is not None or self.cache.leader is None
                await anyio.sleep(self._watch_gap if busy else STANDBY_WATCH_S)
            except (RequestRefusedError, OutcomeUnknownError) as err:
                log.debug("event=watch_failed error=%s", err)
                await anyio.sleep(0.2 + self.random.random() * 0.3)

    async def current(self) -> Seconds:
        """Return once the mirror is known to be as new as when this was called; gives when the
        changes were asked for."""
        return await self._read_checks.current()

    async def _check_loop(self) -> None:
        await self._read_checks.run()

    # Leases and leadership

    async def _leader_loop(self) -> None:
        while True:
            try:
                if not self.ready:
                    await anyio.sleep(0.1)
                    continue
                if not self.election.is_leader():
                    if self.leader is not None:
                        self.election.resign()
                    await self.election.campaign(owns_shards=bool(self.shard_schedulers))
                if self.election.is_leader():
                    await self._lead()
            except (
                RequestRefusedError,
                OutcomeUnknownError,
                TransactionConflictError,
                LeaseExpiredError,
            ) as err:
                log.debug("event=planning_pass_failed error=%r", err)
                await anyio.sleep(0.1 + self.random.random() * 0.1)
            except Exception:
                log.exception("event=planning_pass_crashed")
                await anyio.sleep(0.5)
            if self.leader is None:
                await anyio.sleep(CAMPAIGN_INTERVAL_S)
                continue
            with anyio.move_on_after(0.5):
                self.leadership.pass_wake.clear()
                await self.leadership.pass_wake.wait()
            with anyio.move_on_after(max(PASS_S, min(REST_MOST_S, REST * self._pass_took))):
                await self.leadership.urgent_wake.wait()
            self.leadership.urgent_wake.clear()

    async def _lead(self) -> None:
        epoch = await self.election.settle_epoch()
        self.election.note_planned(epoch)
        now = self.now()
        leader = self.leader
        if leader is None:
            leader = LeaderPlanner(
                self.cache,
                self.settings,
                self.estimates,
                epoch,
                now,
                self.tuning,
                self.shard_names(),
            )
            self.election.begin_term(leader, epoch)
        leader.epoch = epoch
        service = self._partition_service()
        if service is not None:
            service.lead(leader)
        leader.partitions = service.keeper if service is not None else None
        self.assigner.wanted = service.wanted_shards() if service is not None else []
        for name, shard in self.assigner.changes(now, leader.unreachable_shards()).items():
            key = SHARDS + name
            value = {"owner": shard.owner, "boot": shard.incarnation}
            change = ConditionalWrite(key, value, self.cache.version(key), 0)
            await self.election.write(epoch, [change])
        for name, scheduler in self.shard_schedulers.items():
            base = self.confirmations.base(name, scheduler.token)
            number = leader.shard_status(now, scheduler.status(now, base))
            self.confirmations.confirm(
                name, Confirmation(scheduler.token, self.identity.incarnation, number)
            )
        changes = leader.plan(now, self.wall())
        self._pass_took = self.now() - now
        # What the budget does not allow is found again by the next pass, or overtaken by more.
        level = self.state.writes.level()
        room = int(level)
        # What users wait for, and what ends tasks, goes before what is only kept for a restart.
        least = sum(c.priority < PRIORITY_PROGRESS for c in changes)
        room = min(room, max(least, int(level - PROGRESS_RESERVE * self.state.writes.rate)))
        if room < len(changes):
            log.debug("event=writes_deferred count=%d", len(changes) - room)
            changes = first_whole_groups(changes, room)
        for batch in split_into_transactions(
            changes, lambda change: encoded_size(change.value), self.limits_now()
        ):
            await self._write_some(epoch, now, batch)

    def limits_now(self) -> StateLimits:
        """How large values and transactions may be. What controllers of the older version read
        can't be cut, so until the format is raised a value may be as large as it was."""
        limits = self.settings.deployment.state
        if self.cache.format >= FORMAT_NOW:
            return self._limits
        return msgspec.structs.replace(limits, txn_ops=self._limits.txn_ops)

    async def _write_some(
        self, epoch: FencingToken, now: Seconds, batch: list[ConditionalWrite]
    ) -> None:
        """Write a batch; where it is refused for its size, each change by itself, so that one
        that is too large keeps no other back."""
        assert self.leader is not None
        try:
            await self.election.write(epoch, batch)
        except ValueTooLargeError:
            transaction_group = any(change.transaction_group for change in batch)
            if len(batch) == 1 or transaction_group:
                log.error("event=value_rejected key=%s", batch[0].key)
                return
            for change in batch:
                await self._write_some(epoch, now, [change])
            return
        if self.leader is not None:
            self.leader.written(now, batch)

    # What the leader's calls of the cloud need

    async def _cloud_loop(self) -> None:
        await self._cloud_calls.run()

    # Parts and peers

    async def _shard_loop(self) -> None:
        gap = TICK_S
        while True:
            await anyio.sleep(gap if self.shard_schedulers else IDLE_S)
            now = self.now()
            for name, scheduler in list(self.shard_schedulers.items()):
                try:
                    scheduler.tick(now, self.wall(), now - self.current_at < FOLLOWED_S)
                    due = gap if scheduler.dirty else STATUS_IDLE_S
                    if now - self._status_at.get(name, -1e9) >= due * 0.9:
                        self._status_at[name] = now
                        self._send_status(now, scheduler)
                except Exception:
                    log.exception("event=shard_tick_failed shard=%s", name)
            gap = max(TICK_S, min(TICK_MOST_S, TICK_REST * (self.now() - now)))

    def _send_status(self, now: Seconds, scheduler: ShardScheduler) -> None:
        if self.leader is not None:
            # The leader's pass takes the status of its own parts itself.
            self.leadership.pass_wake.set()
            return
        record = self.cache.leader
        link = self.links.get(ControllerName(record.controller)) if record is not None else None
        if link is not None:
            base = self.confirmations.base(scheduler.shard, scheduler.token)
            status = scheduler.status(now, base)
            status.controller, status.version = self.identity.name, FORMAT_NOW
            link.post(f"{status.kind}:{scheduler.shard}", peers.encode(status))

    async def _overload_loop(self) -> None:
        while True:
            self._due = self.now() + OVERLOAD_SAMPLE_S
            await anyio.sleep(OVERLOAD_SAMPLE_S)
            self._late = max(self.now() - self._due, self._late * 0.8)

    def overload_s(self) -> Seconds:
        """How far this node is behind: it stood still, or has more to do than it can. Known at
        once, in the turn in which it goes on."""
        return max(self._late, self.now() - self._due)

    async def on_request(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """A message on a peer connection; some are answered on it."""
        kind = message.get("kind")
        if kind == peers.KIND_PARTITION_COMMAND:
            return await self._answer_partition_command(message)
        if kind != peers.KIND_FORWARDED_REQUEST:
            return self.on_message(message)
        forwarded = peers.decode(message, ForwardedRequest)
        request = Request(forwarded.method, forwarded.target, forwarded.body, False)
        answer = await self.api.answer(request) or NO_PATH
        response = ForwardedResponse(
            status=answer.status, body=answer.body, retry_after=answer.retry_after
        )
        return peers.encode(response)

    async def _answer_partition_command(self, message: dict[str, Any]) -> dict[str, Any]:
        """An operator's command on shares."""
        if self.partitions is None:
            return {"status": 404, "error": "shares are not switched on here"}
        answer: dict[str, Any] = await self.partitions.answer(message)
        return answer

    def on_message(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """A message that is answered at once or not at all.

        Raises:
            ValueError: it is malformed.
        """
        kind = message.get("kind")
        if kind == peers.KIND_CONTROLLER_STATUS:
            return controller_status(self)
        if kind == peers.KIND_SHARD_STATUS:
            if self.leader is not None:
                self._take_shard_status(self.leader, peers.decode(message, ShardStatus))
        elif kind == peers.KIND_STATUS_CONFIRMATION:
            confirmation = peers.decode(message, StatusConfirmation)
            self.confirmations.confirm(
                confirmation.shard,
                Confirmation(confirmation.token, confirmation.incarnation, confirmation.number),
            )
        elif kind == peers.KIND_GOSSIP:
            self.peers.hear_gossip(message)
        return None

    def _take_shard_status(self, leader: LeaderPlanner, status: ShardStatus) -> None:
        number = leader.shard_status(self.now(), status)
        self.leadership.wake()
        self.peers.confirm_status(status, number)

    def running_tasks(self, job: JobId) -> int:
        return self.peers.running_tasks(job)

    async def ask_peer(self, request: Request) -> Answer | None:
        return await self.peers.forward(request)

    # Requests

    def _healthy(self) -> bool:
        """Whether users are served here as well as anywhere."""
        if not self.ready or self.overload_s() > MAX_OVERLOAD_S:
            return False
        now = self.now()
        if now - self.contact_at < UNHEALTHY_S:
            return True
        # Cut off alone, this node sends its users elsewhere. In an outage for all it stays:
        # being taken out would cost seconds more when the state service is back. Contacts are
        # a renewal apart at most, so in an outage no peer still claims one by now.
        return not self.peers.any_reaches_state_service(now)

    def _heartbeat(self, request: Request) -> Answer:
        if request.too_large:
            return Answer(400, b'{"error":"body over 64 KiB"}')
        try:
            heartbeat = parse_heartbeat(request.body)
        except MalformedMessageError as err:
            log.error("event=heartbeat_malformed error=%s", err)
            return Answer(400, b'{"error":"malformed report"}')
        now = self.now()
        name = self.cache.shard_of(heartbeat.machine, heartbeat.zone)
        scheduler = self.shard_schedulers.get(name)
        heard_token, heard_owner = self.peers.heard_owner(name)
        if (
            scheduler is not None
            and scheduler.token >= heard_token
            and scheduler.token_for(heartbeat.machine) >= heartbeat.token
        ):
            workers = self.settings.deployment.workers
            # A cancellation that we can't see ends its tasks through the workers' leases: we
            # keep them up only as long as that is still in time. A lease counts from when the
            # report was sent, so neither a report held back nor a process that stands still
            # here adds to it; a hanging machine goes on only within it.
            told_at = self.cancellations.known_at(now)
            if now - max(self.current_at, told_at) < workers.cancel_s - workers.lease_s - MARGIN_S:
                # A start needs no lease: should there be a newer owner, what this machine is told
                # under our token is on it when it first reports under the newer one, and until
                # then that owner takes it for unheard. What the records grant to us is taken
                # back only when we say that it is not here. So in an outage starts go on, as
                # long as no cancellation can have been missed.
                followed = self.lease_valid() and now - self.current_at < CURRENT_S
                may_launch = followed or now - told_at < CURRENT_S
                commands = scheduler.handle_heartbeat(now, heartbeat, may_launch)
                if scheduler.dirty:
                    self.leadership.pass_wake.set()
                return Answer(
                    200,
                    encode_heartbeat_response(scheduler.token_for(heartbeat.machine), commands),
                )
            scheduler.refuse(now)
            return Answer(503, b'{"error":"cut off"}', 1)
        shard = self.cache.shards.get(name)
        owner = shard.owner if shard is not None else ""
        if heard_token > self.cache.version(SHARDS + name):
            owner = heard_owner
        if (
            owner
            and owner != self.identity.name
            and (self.ready and owner in self.cache.controllers)
        ):
            return Answer(421, encode_redirect(owner))
        return Answer(503, b'{"error":"no owner"}', 1)

    async def handle(self, request: Request) -> Answer:
        path = request.target.partition("?")[0]
        if path == "/checkin":
            return self._heartbeat(request) if request.method == "POST" else NO_METHOD
        if path == "/healthz":
            if request.method != "GET":
                return NO_METHOD
            return Answer(200) if self._healthy() else Answer(503, b"{}", 1)
        begun = self.now()
        if self.overload_s() > MAX_OVERLOAD_S and path.startswith(PATH):
            # Answering costs most of what a refusal does not, and workers' leases need it.
            return OVERLOADED
        answer = await self.api.handle(request)
        if answer is None:
            return NO_PATH
        self.latencies.record("submit" if path == PATH else "poll", self.now() - begun)
        return answer

    async def run(self) -> None:
        host, port = host_port(self.settings.client_listen, "client_listen")
        limits = self.settings.deployment
        most = limits.machine_limits.fd_limit
        # The state service, the cloud and the peers keep theirs, whatever workers and users do.
        most -= int(OWN_SOCKETS + 8 * limits.count + 2.0 * CALL_S * limits.state.rps / limits.count)
        most = max(LEAST_SOCKETS, most)
        clients = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=most)
        host, port = host_port(self.settings.peer_listen, "peer_listen")
        peer_listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=64
        )

        def serve(stream: anyio.abc.ByteStream, mark: IdleCallback) -> Awaitable[None]:
            return serve_connection(stream, self.handle, mark)

        def hear(stream: anyio.abc.ByteStream, mark: IdleCallback) -> Awaitable[None]:
            return receive_frames(stream, self.on_request)

        async with anyio.create_task_group() as group:
            group.start_soon(self.run_loops)
            group.start_soon(ConnectionAcceptor(8 + 4 * limits.count, hear).run, peer_listener)
            await ConnectionAcceptor(most, serve).run(clients)

    async def run_loops(self) -> None:
        """All that a controller does besides answering."""
        async with anyio.create_task_group() as group:
            for link in self.links.values():
                group.start_soon(link.run)
            if self.partitions is not None:
                group.start_soon(self._run_supervised, "run", self.partitions.run)
            # The names are those by which the log tells of a loop that broke.
            for name, loop in (
                ("_lease_loop", self.presence.run),
                ("_watch_loop", self._watch_loop),
                ("_check_loop", self._check_loop),
                ("_leader_loop", self._leader_loop),
                ("_cloud_loop", self._cloud_loop),
                ("_shard_loop", self._shard_loop),
                ("_gossip_loop", self.peers.run),
                ("_overload_loop", self._overload_loop),
            ):
                group.start_soon(self._run_supervised, name, loop)

    async def _run_supervised(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop; one that breaks is logged and started again, and ends nothing else."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("event=loop_crashed loop=%s", name)
                await anyio.sleep(0.5)
