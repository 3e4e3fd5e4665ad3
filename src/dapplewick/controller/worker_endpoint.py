"""Heartbeats of workers: who may answer them, and where others are sent."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from dapplewick.config import WorkerTimes
from dapplewick.controller.record_follower import RecordFollower
from dapplewick.coordination.cancellation_exchange import CancellationExchange
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.peer_exchange import PeerExchange, ReportedOwner
from dapplewick.coordination.presence import Presence
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.protocol.workers import (
    Heartbeat,
    encode_heartbeat_response,
    encode_redirect,
    parse_heartbeat,
)
from dapplewick.storage.keys import SHARDS
from dapplewick.transport.http import Request, Response
from dapplewick.types import Seconds, ShardName

log = logging.getLogger(__name__)

MAX_LAUNCH_AGE_S = 9.0  # with records older than this, nothing is launched
CANCELLATION_MARGIN_S = 3.0  # what a cancellation takes on its way besides a worker's lease

TOO_LARGE = Response(400, b'{"error":"body over 64 KiB"}')
MALFORMED = Response(400, b'{"error":"malformed report"}')
RECORDS_TOO_OLD = Response(503, b'{"error":"cut off"}', 1)
OWNER_UNKNOWN = Response(503, b'{"error":"no owner"}', 1)


@dataclass(eq=False, kw_only=True)
class WorkerEndpoint:
    """Answers heartbeats as the owner of a shard, or says who owns it."""

    identity: Identity
    records: RecordFollower
    schedulers: Mapping[ShardName, ShardScheduler]
    presence: Presence
    leadership: Leadership
    peers: PeerExchange
    cancellations: CancellationExchange
    worker_times: WorkerTimes
    now: Callable[[], Seconds]

    def answer(self, request: Request) -> Response:
        """Answer a heartbeat: 200 by its owner, 421 to another, 503 if none may answer here."""
        if request.too_large:
            return TOO_LARGE
        try:
            heartbeat = parse_heartbeat(request.body)
        except MalformedMessageError as err:
            log.error("event=heartbeat_malformed error=%s", err)
            return MALFORMED
        now = self.now()
        name = self.records.cache.shard_of(heartbeat.machine, heartbeat.zone)
        scheduler = self.schedulers.get(name)
        latest_owner = self.peers.reported_owner(name)
        if (
            scheduler is not None
            and scheduler.token >= latest_owner.token
            and scheduler.token_for(heartbeat.machine) >= heartbeat.token
        ):
            return self._answer_as_owner(now, scheduler, heartbeat)
        return self._redirect_to_owner(name, latest_owner)

    def _answer_as_owner(
        self, now: Seconds, scheduler: ShardScheduler, heartbeat: Heartbeat
    ) -> Response:
        # A cancellation that we can't see ends its tasks through the workers' leases: we
        # keep them up only as long as that is still in time. A lease counts from when the
        # heartbeat was sent, so neither a heartbeat held back nor a process that stands still
        # here adds to it; a hanging machine goes on only within it.
        cancellations_known_at = self.cancellations.complete_as_of(now)
        times = self.worker_times
        max_age_s = times.cancel_s - times.lease_s - CANCELLATION_MARGIN_S
        if now - max(self.records.current_at, cancellations_known_at) >= max_age_s:
            scheduler.record_heartbeats_refused(now)
            return RECORDS_TOO_OLD
        # A start needs no lease: should there be a newer owner, what this machine is told
        # under our token is on it at its first heartbeat under the newer one, and until
        # then that owner takes it for unreconciled. What the records assign to us is taken
        # back only when we say that it is not here. So in an outage starts go on, as
        # long as no cancellation can have been missed.
        has_current_records = (
            self.presence.lease_valid() and now - self.records.current_at < MAX_LAUNCH_AGE_S
        )
        may_launch = has_current_records or now - cancellations_known_at < MAX_LAUNCH_AGE_S
        commands = scheduler.handle_heartbeat(now, heartbeat, may_launch)
        if scheduler.dirty:
            self.leadership.pass_wake.set()
        token = scheduler.token_for(heartbeat.machine)
        return Response(200, encode_heartbeat_response(token, commands))

    def _redirect_to_owner(self, name: ShardName, latest_owner: ReportedOwner) -> Response:
        """Name the newest owner that is known, if it is another controller that is there."""
        cache = self.records.cache
        shard = cache.shards.get(name)
        owner = shard.owner if shard is not None else ""
        if latest_owner.token > cache.version(SHARDS + name):
            owner = latest_owner.controller
        is_another = owner != "" and owner != self.identity.name
        if is_another and self.records.ready and owner in cache.controllers:
            return Response(421, encode_redirect(owner))
        return OWNER_UNKNOWN
