"""Handles workers' heartbeats, or redirects them to the owner of the worker's shard."""

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

# Tasks are only launched if the records, or else the known cancellations, are less old.
MAX_LAUNCH_AGE_S = 9.0
CANCELLATION_MARGIN_S = 3.0  # for all delays of a cancellation other than the worker's lease

TOO_LARGE = Response(400, b'{"error":"body over 64 KiB"}')
MALFORMED = Response(400, b'{"error":"malformed report"}')
RECORDS_TOO_OLD = Response(503, b'{"error":"cut off"}', 1)
OWNER_UNKNOWN = Response(503, b'{"error":"no owner"}', 1)


@dataclass(eq=False, kw_only=True)
class WorkerEndpoint:
    """Responds to heartbeats as the owner of a shard, or redirects them to the owner."""

    identity: Identity
    records: RecordFollower
    schedulers: Mapping[ShardName, ShardScheduler]
    presence: Presence
    leadership: Leadership
    peers: PeerExchange
    cancellations: CancellationExchange
    worker_times: WorkerTimes
    now: Callable[[], Seconds]

    def handle(self, request: Request) -> Response:
        """Respond to a heartbeat.

        Returns:
            200 with commands if this process owns the shard, 421 with the name of another owner,
            503 if the owner is unknown or this process may not renew the worker's lease, or 400 if
            the heartbeat is malformed.
        """
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
            return self._respond_as_owner(now, scheduler, heartbeat)
        return self._redirect_to_owner(name, latest_owner)

    def _respond_as_owner(
        self, now: Seconds, scheduler: ShardScheduler, heartbeat: Heartbeat
    ) -> Response:
        # A 200 response renews the worker's lease. If this process can't see a cancellation, the
        # job's tasks end only when the leases of their workers expire. Leases are therefore renewed
        # only as long as a renewed lease would still expire in time for a cancellation that was
        # missed. A lease counts from the sending of the heartbeat, so neither a delayed heartbeat
        # nor a suspension of this process extends it, and a hanging machine runs its tasks no
        # longer than its lease.
        cancellations_known_at = self.cancellations.complete_as_of(now)
        times = self.worker_times
        max_age_s = times.cancel_s - times.lease_s - CANCELLATION_MARGIN_S
        if now - max(self.records.current_at, cancellations_known_at) >= max_age_s:
            scheduler.record_heartbeats_refused(now)
            return RECORDS_TOO_OLD
        # Launching tasks does not require this controller's presence lease. If the shard has a
        # newer owner, tasks launched under the token of this process appear in the machine's first
        # heartbeat to that owner, which treats the machine's tasks as unknown until then.
        # Assignments of the records to this owner are withdrawn only after it has reported that the
        # tasks are not present in its shard. So launches continue in an outage, as long as no
        # cancellation can have been missed.
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
        """Redirect to the latest known owner, if it is another controller that is present."""
        cache = self.records.cache
        shard = cache.shards.get(name)
        owner = shard.owner if shard is not None else ""
        if latest_owner.token > cache.version(SHARDS + name):
            owner = latest_owner.controller
        is_another = owner != "" and owner != self.identity.name
        if is_another and self.records.ready and owner in cache.controllers:
            return Response(421, encode_redirect(owner))
        return OWNER_UNKNOWN
