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
from msgspec import UnsetType

from dapplewick.config import Settings, StateLimits, host_port
from dapplewick.controller.cloud_calls import CloudCalls
from dapplewick.controller.latencies import Latencies
from dapplewick.controller.status import controller_status
from dapplewick.controller.user_api import NO_METHOD, NO_PATH, PATH, Api
from dapplewick.coordination.cancellation_exchange import CancellationMessage, CancellationWatch
from dapplewick.coordination.shard_assignment import ShardAssigner
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol import peers
from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.protocol.peers import (
    ForwardedRequest,
    ForwardedResponse,
    Gossip,
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
from dapplewick.storage.keys import CONTROLLERS, JOBS, LEADER, ROOT, SHARDS, job_of
from dapplewick.storage.rate_limiter import RateLimiter
from dapplewick.storage.read_checks import ReadChecks
from dapplewick.storage.state_client import CALL_TIMEOUT_S, StateClient
from dapplewick.storage.transactions import first_whole_groups, split_into_transactions
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.transport.http import Request, Response, serve_connection
from dapplewick.transport.http_client import HttpClient
from dapplewick.transport.listen import ConnectionAcceptor, IdleCallback
from dapplewick.transport.peer import PeerLink, receive_frames
from dapplewick.tuning import Tuning
from dapplewick.types import ControllerName, FencingToken, JobId, Seconds, ShardName, partition_of

if TYPE_CHECKING:
    from dapplewick.partitions.service import PartitionService

log = logging.getLogger("dapplewick.controller.controller")

TTL_S = 5.0
RENEW_S = 1.3
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
GOSSIP_S = 1.0
GOSSIP_LEAST_S = 0.1  # and after a cancellation this soon
CONTACT_S = 2.5  # a node that reached the state service in this time says so to its peers
ASK_WITHIN_S = 1.0
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


OVERLOADED = Response(503, b'{"error":"overloaded"}', 2)


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
        self.own_name = ControllerName(settings.host_name)
        self.now = clock
        self.random = random.Random(seed)
        self.incarnation = f"{time.time_ns():x}-{self.random.getrandbits(32):x}"
        deployment = settings.deployment
        host, port = host_port(settings.outside.state, "outside.state")
        # The lower of the limits of now and of later, from the start: both are kept to before
        # and after a moment that comes without notice.
        self._limits = deployment.state.lowest()
        rps = self._limits.rps * SHARE / deployment.count
        writes = self._limits.write_rps * SHARE
        self._few_writes = writes * (1 - LEADER_WRITES) / max(1, deployment.count - 1)
        self._many_writes = writes * LEADER_WRITES
        self.state = StateClient(connect(host, port), rps, self._few_writes, LEAST_BURST)
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
        self.lease: int | None = None
        self.lease_until = -1e9
        self.shard_schedulers: dict[ShardName, ShardScheduler] = {}
        self.estimates = Estimates()
        self.leader: LeaderPlanner | None = None
        self.assigner = ShardAssigner(self.cache, deployment.zones, self.own_name)
        self.api = Api(self, deployment)
        self.links: dict[ControllerName, PeerLink] = {}
        for peer in settings.peers:
            self.links[ControllerName(peer.host_name)] = link(
                *host_port(peer.peer_addr, "peers.peer_addr")
            )
        self._peer_state: dict[ControllerName, tuple[Seconds, bool]] = {}
        self._peer_shards: dict[ShardName, tuple[FencingToken, ControllerName]] = {}
        self._running: dict[ControllerName, dict[JobId, int]] = {}
        self.cancellations = CancellationWatch(self.incarnation, self.links, deployment.count)
        self._gossip_wake = anyio.Event()
        self._read_epoch = FencingToken(0)  # the epoch after whose beginning the records were read
        self._planned_epoch = FencingToken(0)  # the newest under which this process planned
        self._doubted_epoch = FencingToken(0)  # one under which a write may still come late
        self._leader_wake = anyio.Event()
        self._urgent_wake = anyio.Event()
        self._pass_took = 0.0
        self._status_at: dict[ShardName, Seconds] = {}
        # Up to which status of which part's owner the leader (a boot of a node) has them.
        self._confirmed: dict[ShardName, tuple[FencingToken, str, int]] = {}
        self._cloud_calls = CloudCalls(self)
        self.partitions = partitions  # None where they are switched off
        self._dissolver: PartitionService | None = None
        if partitions is not None:
            partitions.attach(self)

    # Shares of zones

    def _format(self) -> int:
        """The newest format that this controller says it understands."""
        return PARTITIONS_FORMAT if self.partitions is not None else FORMAT_NOW

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

    def lease_valid(self) -> bool:
        return self.now() < self.lease_until

    # The mirror

    def _on_key(self, key: str) -> None:
        self._changed.append(key)

    def _apply_changed(self) -> None:
        """Tell the cores of changed records; parts first: who owns them decides the rest."""
        if not self._changed:
            return
        keys, self._changed = dict.fromkeys(self._changed), []
        machines = dict.fromkeys(self.cache.changed_machines)
        self.cache.changed_machines.clear()
        now = self.now()
        if any(k.startswith(SHARDS) for k in keys):
            self._update_owned_shards(now)
        jobs = dict.fromkeys(job for key in keys if (job := job_of(key)) is not None)
        if self.leader is not None and any(self._is_new_service(job) for job in jobs):
            self._urgent_wake.set()
        for scheduler in self.shard_schedulers.values():
            for job_id in jobs:
                scheduler.job_changed(now, job_id)
            for machine in machines:
                scheduler.machine_changed(now, machine)
        self._leader_wake.set()

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
                and shard.owner == self.own_name
                and shard.incarnation == self.incarnation
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
        self._apply_changed()

    async def _load(self) -> None:
        sent = self.now()
        items, revision = await self.state.listing(ROOT)
        self.cache.reload(items, revision)
        self.current_at = self.contact_at = sent
        self._apply_changed()
        if not self.ready:
            self.ready = True
            log.info("event=controller_ready controller=%s revision=%d", self.own_name, revision)

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
        self._apply_changed()

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

    async def _lease_loop(self) -> None:
        while True:
            sent = self.now()
            try:
                if self.lease is not None and self._record_lost():
                    log.info("event=presence_overwritten controller=%s", self.own_name)
                    self.lease = None
                if self.lease is None:
                    lease = await self.state.new_lease(int(TTL_S * 1000))
                    key = CONTROLLERS + self.own_name
                    # A late write of an earlier boot, or of ours without an answer, replaces
                    # only what it knew of: without the condition it took a controller out.
                    _, before = await self.state.get(key)
                    value = {
                        "boot": self.incarnation,
                        "zone": self.settings.zone,
                        "version": self._format(),
                    }
                    version = await self.state.transaction(
                        {key: before}, {key: value}, leases={key: lease}, urgent=True
                    )
                    self.lease = lease
                    self.stored(key, value, version)
                else:
                    await self.state.renew(self.lease)
                # Counted from when the request was sent, less what clocks may drift.
                self.lease_until = sent + TTL_S * 0.998 - 0.1
                self.contact_at = self.now()
            except LeaseExpiredError:
                log.info("event=presence_lease_expired controller=%s", self.own_name)
                self.lease = None
                continue
            except TransactionConflictError:
                await anyio.sleep(0.05 + self.random.random() * 0.1)
                continue
            except (RequestRefusedError, OutcomeUnknownError) as err:
                log.debug("event=presence_renewal_failed error=%s", err)
                await anyio.sleep(0.3 + self.random.random() * 0.2)
                continue
            await anyio.sleep(RENEW_S)

    def _record_lost(self) -> bool:
        """Whether another life of this controller has overwritten its presence."""
        record = self.cache.controllers.get(self.own_name)
        return self.ready and (record is None or record.incarnation != self.incarnation)

    def _is_leader(self) -> bool:
        record = self.cache.leader
        return (
            record is not None
            and record.controller == self.own_name
            and record.incarnation == self.incarnation
            and self.lease_valid()
        )

    async def _campaign(self) -> None:
        """Try to become leader: the key must not exist, or be of an earlier life of ours."""
        record = self.cache.leader
        mine = (
            record is not None
            and record.controller == self.own_name
            and record.incarnation != self.incarnation
        )
        if (record is not None and not mine) or self.lease is None or not self.lease_valid():
            return
        if self.shard_schedulers:
            # Controllers without a part lead by preference.
            await anyio.sleep(0.3 + self.random.random() * 0.2)
            if self.cache.leader is not record:
                return  # another was quicker
        await self._write_leader()

    async def _write_leader(self) -> None:
        assert self.lease is not None
        value = {"node": self.own_name, "boot": self.incarnation}
        version = await self.state.transaction(
            {LEADER: self.cache.version(LEADER)},
            {LEADER: value},
            leases={LEADER: self.lease},
            urgent=True,
        )
        self.stored(LEADER, value, version)
        await self.current()

    async def _leader_loop(self) -> None:
        while True:
            try:
                if not self.ready:
                    await anyio.sleep(0.1)
                    continue
                if not self._is_leader():
                    if self.leader is not None:
                        self._resign()
                    await self._campaign()
                if self._is_leader():
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
                self._leader_wake = anyio.Event()
                await self._leader_wake.wait()
            with anyio.move_on_after(max(PASS_S, min(REST_MOST_S, REST * self._pass_took))):
                await self._urgent_wake.wait()
            self._urgent_wake = anyio.Event()

    def _resign(self) -> None:
        log.info("event=leadership_lost controller=%s", self.own_name)
        self.leader = None
        self.state.writes.rate_per_s = self._few_writes

    async def _settle_epoch(self) -> FencingToken:
        """The epoch under which to plan now.

        A write without an answer may still come as long as the leader's key is what it was: no
        plan is made on what it may change, also where writing the key anew failed at first.
        A new term that finds its old key, as after an outage, begins a new epoch all the same:
        attempts and bookings are named after it. And the records are read once after an epoch
        has begun: until then an earlier leader, or an earlier life of this one, could write.
        """
        epoch = FencingToken(self.cache.version(LEADER))
        renamed = self.leader is None and epoch <= self._planned_epoch
        if renamed or epoch == self._doubted_epoch:
            await self._write_leader()
            epoch = FencingToken(self.cache.version(LEADER))
        if epoch != self._read_epoch:
            await self.current()
            if epoch != self.cache.version(LEADER):
                raise RequestRefusedError("another epoch has begun")
            self._read_epoch = epoch
        return epoch

    async def _lead(self) -> None:
        epoch = await self._settle_epoch()
        self._planned_epoch = max(self._planned_epoch, epoch)
        now = self.now()
        if self.leader is None:
            self.leader = LeaderPlanner(
                self.cache,
                self.settings,
                self.estimates,
                epoch,
                now,
                self.tuning,
                self.shard_names(),
            )
            self.state.writes.rate_per_s = self._many_writes
            log.info("event=leadership_acquired controller=%s epoch=%d", self.own_name, epoch)
        self.leader.epoch = epoch
        service = self._partition_service()
        if service is not None:
            service.lead(self.leader)
        self.leader.partitions = service.rebalancer if service is not None else None
        self.assigner.wanted = service.wanted_shards() if service is not None else []
        for name, shard in self.assigner.changes(now, self.leader.unreachable_shards()).items():
            key = SHARDS + name
            value = {"owner": shard.owner, "boot": shard.incarnation}
            await self._write(
                epoch, [ConditionalWrite(key, value, self.cache.version(key), WritePriority.URGENT)]
            )
        for name, scheduler in self.shard_schedulers.items():
            number = self.leader.shard_status(
                now, scheduler.status(now, self._base(name, scheduler))
            )
            self._confirm(name, scheduler.token, self.incarnation, number)
        changes = self.leader.plan(now, self.wall())
        self._pass_took = self.now() - now
        # What the budget does not allow is found again by the next pass, or overtaken by more.
        level = self.state.writes.available()
        room = int(level)
        # What users wait for, and what ends tasks, goes before what is only kept for a restart.
        least = sum(c.priority < WritePriority.PROGRESS for c in changes)
        room = min(room, max(least, int(level - PROGRESS_RESERVE * self.state.writes.rate_per_s)))
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
            await self._write(epoch, batch)
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

    async def _write(self, epoch: FencingToken, changes: list[ConditionalWrite]) -> None:
        """Write records as the leader: only as long as the epoch and the records still hold.

        The epoch is the one that was planned under. The mirror may show another leader's by
        now, and a write under that would pass for the other's.
        """
        conditions = {LEADER: int(epoch)}
        for change in changes:
            conditions |= dict(change.preconditions)
        conditions |= {c.key: c.expected_version for c in changes}
        puts = {c.key: c.value for c in changes if c.value is not None}
        deletes = [c.key for c in changes if c.value is None]
        try:
            version = await self.state.transaction(conditions, puts, deletes)
        except TransactionConflictError:
            await self.current()
            raise
        except OutcomeUnknownError:
            # The write may still be applied later. Writing the leader key anew ends that: the
            # write's condition on the old epoch can't hold any more. Then we look again.
            log.info("event=write_outcome_unknown keys=%d", len(changes))
            self._doubted_epoch = epoch
            raise
        log.debug("event=write_committed revision=%d keys=%s", version, ",".join(conditions))
        for key, value in puts.items():
            self.cache.put(key, value, version)
        for key in deletes:
            self.cache.remove(key, version)
        self._apply_changed()

    # What the leader's calls of the cloud need

    def wake_leader(self, at_once: bool = False) -> None:
        """There is something to plan; at once if work waits for it."""
        self._leader_wake.set()
        if at_once:
            self._urgent_wake.set()

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
            self._leader_wake.set()
            return
        record = self.cache.leader
        link = self.links.get(ControllerName(record.controller)) if record is not None else None
        if link is not None:
            status = scheduler.status(now, self._base(scheduler.shard, scheduler))
            status.controller, status.version = self.own_name, FORMAT_NOW
            link.post(f"{status.kind}:{scheduler.shard}", peers.encode(status))

    def _base(self, shard: ShardName, scheduler: ShardScheduler) -> int:
        """The newest of a part's statuses that the present leader has confirmed."""
        token, incarnation, number = self._confirmed.get(shard, (FencingToken(0), "", 0))
        leader = self.cache.leader
        same = token == scheduler.token and leader is not None and leader.incarnation == incarnation
        return number if same else 0

    def _confirm(
        self, shard: ShardName, token: FencingToken, incarnation: str, number: int
    ) -> None:
        """A leader has this part's statuses up to a number; another life of it has none."""
        self._confirmed[shard] = (token, incarnation, number)

    async def _overload_loop(self) -> None:
        while True:
            self._due = self.now() + OVERLOAD_SAMPLE_S
            await anyio.sleep(OVERLOAD_SAMPLE_S)
            self._late = max(self.now() - self._due, self._late * 0.8)

    def overload_s(self) -> Seconds:
        """How far this node is behind: it stood still, or has more to do than it can. Known at
        once, in the turn in which it goes on."""
        return max(self._late, self.now() - self._due)

    async def _gossip_loop(self) -> None:
        while True:
            with anyio.move_on_after(GOSSIP_S):
                await self._gossip_wake.wait()
                await anyio.sleep(GOSSIP_LEAST_S)
            self._gossip_wake = anyio.Event()
            running: dict[JobId, int] = {}
            for scheduler in self.shard_schedulers.values():
                for job, count in scheduler.running():
                    running[job] = running.get(job, 0) + count
            self._running[self.own_name] = running
            shards = {
                name: (
                    FencingToken(self.cache.version(SHARDS + name)),
                    ControllerName(shard.owner),
                )
                for name, shard in self.cache.shards.items()
            }
            gossip = Gossip(
                controller=self.own_name,
                version=FORMAT_NOW,
                running=running,
                shards=shards,
                reaches_state_service=self.now() - self.contact_at < CONTACT_S,
            )
            cancellations = self.cancellations.message(self.now(), self.cache, self.ready)
            message = peers.encode(gossip) | peers.encode(cancellations)
            for link in self.links.values():
                link.post(gossip.kind, message)

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

    async def ask_peer(self, request: Request) -> Response | None:
        """Put a user's request to a peer that reaches the state service; None if none does."""
        now = self.now()
        able = [
            controller
            for controller, (at, ok) in self._peer_state.items()
            if ok and now - at < 2.5 and controller in self.links
        ]
        if not able:
            return None
        forwarded = ForwardedRequest(
            method=request.method, target=request.target, body=request.body
        )
        link = self.links[self.random.choice(able)]
        said = await link.ask(peers.encode(forwarded), ASK_WITHIN_S)
        if said is None or said.get("status") in (None, 503):
            return None
        response = peers.decode(said, ForwardedResponse)
        return Response(response.status, response.body, response.retry_after)

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
            self._confirm(
                confirmation.shard,
                confirmation.token,
                confirmation.incarnation,
                confirmation.number,
            )
        elif kind == peers.KIND_GOSSIP:
            self._take_gossip(message)
        return None

    def _take_shard_status(self, leader: LeaderPlanner, status: ShardStatus) -> None:
        number = leader.shard_status(self.now(), status)
        self._leader_wake.set()
        if isinstance(status.controller, UnsetType):
            return
        link = self.links.get(status.controller)
        if link is None:
            return
        confirmation = StatusConfirmation(
            shard=status.shard,
            token=status.token,
            incarnation=self.incarnation,
            number=number,
            version=FORMAT_NOW,
        )
        link.post(f"{confirmation.kind}:{status.shard}", peers.encode(confirmation))

    def _take_gossip(self, message: dict[str, Any]) -> None:
        gossip = peers.decode(message, Gossip)
        controller = gossip.controller
        self._peer_state[controller] = (self.now(), gossip.reaches_state_service)
        self._running[controller] = gossip.running
        for shard, (token, owner) in gossip.shards.items():
            if token > self._peer_shards.get(shard, (0, ""))[0]:
                self._peer_shards[shard] = (token, owner)
        if "heard" in message:  # the first versions tell nothing of cancellations
            cancellations = peers.decode(message, CancellationMessage)
            self.cancellations.hear(
                self.now(), self.own_name, controller, cancellations, self.cache
            )
        self._apply_changed()

    def running_tasks(self, job: JobId) -> int:
        return sum(counts.get(job, 0) for counts in self._running.values())

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
        return not any(now - at < 1.5 and ok for at, ok in self._peer_state.values())

    def _heartbeat(self, request: Request) -> Response:
        if request.too_large:
            return Response(400, b'{"error":"body over 64 KiB"}')
        try:
            heartbeat = parse_heartbeat(request.body)
        except MalformedMessageError as err:
            log.error("event=heartbeat_malformed error=%s", err)
            return Response(400, b'{"error":"malformed report"}')
        now = self.now()
        name = self.cache.shard_of(heartbeat.machine, heartbeat.zone)
        scheduler = self.shard_schedulers.get(name)
        heard_token, heard_owner = self._peer_shards.get(
            name, (FencingToken(0), ControllerName(""))
        )
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
                    self._leader_wake.set()
                return Response(
                    200,
                    encode_heartbeat_response(scheduler.token_for(heartbeat.machine), commands),
                )
            scheduler.refuse(now)
            return Response(503, b'{"error":"cut off"}', 1)
        shard = self.cache.shards.get(name)
        owner = shard.owner if shard is not None else ""
        if heard_token > self.cache.version(SHARDS + name):
            owner = heard_owner
        if owner and owner != self.own_name and (self.ready and owner in self.cache.controllers):
            return Response(421, encode_redirect(owner))
        return Response(503, b'{"error":"no owner"}', 1)

    async def handle(self, request: Request) -> Response:
        path = request.target.partition("?")[0]
        if path == "/checkin":
            return self._heartbeat(request) if request.method == "POST" else NO_METHOD
        if path == "/healthz":
            if request.method != "GET":
                return NO_METHOD
            return Response(200) if self._healthy() else Response(503, b"{}", 1)
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
        most -= int(
            OWN_SOCKETS + 8 * limits.count + 2.0 * CALL_TIMEOUT_S * limits.state.rps / limits.count
        )
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
                group.start_soon(self._run_supervised, self.partitions.run)
            for loop in (
                self._lease_loop,
                self._watch_loop,
                self._check_loop,
                self._leader_loop,
                self._cloud_loop,
                self._shard_loop,
                self._gossip_loop,
                self._overload_loop,
            ):
                group.start_soon(self._run_supervised, loop)

    async def _run_supervised(self, loop: Any) -> None:
        """Run a loop; one that breaks is logged and started again, and ends nothing else."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("event=loop_crashed loop=%s", loop.__name__)
                await anyio.sleep(0.5)
