"""Exchange of cancellations between controllers while the state service can't be read.

A controller may renew a worker's lease only if it can't have missed a cancellation for long. The
records in the state service contain every cancellation, but can't be read during an outage. Only
controllers acknowledge a cancellation to users, and each has the cancellation in its watch cache
before it does so. Therefore, once every other controller has sent all cancellations in its watch
cache, this controller knows every cancellation that was acknowledged before.

The age of this information counts from the time at which this controller sent its message: each
message carries the sender's time, and the reply contains the newest time received from each peer.
If a message is lost, a peer is unreachable or a peer has not read the records since it started,
the age keeps growing. No conclusion depends on how fast messages arrive.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from dapplewick.protocol.job_spec import JOB_ID_PATTERN
from dapplewick.protocol.workers import COUNTER_LIMIT
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, ControllerName, JobId, Revision, Seconds

# A message lists the cancellations after the lowest revision that a peer has reported. The reports
# of peers without contact for longer than this are ignored.
PEER_CONTACT_WINDOW_S = 10.0
# A message that would list more cancellations lists none and is marked as incomplete.
MAX_LISTED_CANCELLATIONS = 2000


class MessageStamp(NamedTuple):
    """Identifies a message of a peer, so that a reply can acknowledge this message."""

    incarnation: str  # of the sender
    at: Seconds  # when the message was sent, by the sender's monotonic clock


class PeerRevision(NamedTuple):
    """The revision up to which a peer had read the records when it sent its last message."""

    received_at: Seconds  # by this controller's monotonic clock
    revision: Revision


NO_STAMP = MessageStamp("", 0.0)


class CancellationMessage(msgspec.Struct):
    """The cancellations that a controller knows, and acknowledgements of its peers' messages.

    Every message is also a request for the peers' cancellations. It is encoded in the same map as
    `dapplewick.protocol.peers.Gossip`.

    Attributes:
        at: when the message was sent, by the sender's monotonic clock.
        incarnation: the sender's incarnation.
        revision: the revision up to which the sender has read the records.
        heard: the stamp of the newest message received from each peer.
        complete: whether `cancelled` contains every cancellation newer than `since` that the
            sender knows.
        since: the revision after which `cancelled` begins.
        cancelled: the version and the job of each cancellation.
    """

    at: Seconds
    incarnation: str = msgspec.field(name="boot")
    revision: Revision
    heard: dict[ControllerName, MessageStamp]
    complete: bool
    since: Revision
    cancelled: list[tuple[int, JobId]]

    def __post_init__(self) -> None:
        """Reject a list that no controller sends, because its jobs would count as cancelled.

        Raises:
            ValueError: the list is too long, or an entry is not a cancellation.
        """
        if len(self.cancelled) > MAX_LISTED_CANCELLATIONS:
            raise ValueError("cancelled: more entries than a message may list")
        for version, job in self.cancelled:
            if not 0 < version < COUNTER_LIMIT or not JOB_ID_PATTERN.match(job):
                raise ValueError("cancelled: an entry has a malformed version or job id")


class CancellationExchange:
    """One controller's side of the exchange: a state machine without I/O.

    Times are in seconds, by this controller's monotonic clock; only the time in a `MessageStamp` is
    by the sender's clock.
    """

    def __init__(self, incarnation: str, peers: Iterable[ControllerName], count: int) -> None:
        self._incarnation = incarnation
        self._peers = frozenset(peers)
        # A controller that is missing from the peers gets no messages, but may acknowledge
        # cancellations to users.
        self._knows_all_controllers = len(self._peers) + 1 >= count
        self._latest_stamps: dict[ControllerName, MessageStamp] = {}
        self._peer_revisions: dict[ControllerName, PeerRevision] = {}
        # By peer, when this controller sent the newest message that a complete list of the peer
        # acknowledges.
        self._acknowledged_at: dict[ControllerName, Seconds] = {}

    def message(self, now: Seconds, cache: WatchCache, ready: bool) -> CancellationMessage:
        """Create the message to send to all peers now.

        Args:
            now: the monotonic clock of this process.
            cache: this controller's copy of the records.
            ready: whether this controller has read the records since it started.
        """
        recent = [
            reported.revision
            for reported in self._peer_revisions.values()
            if now - reported.received_at < PEER_CONTACT_WINDOW_S
        ]
        since = min(recent, default=cache.revision)
        listed = cache.cancellations(since)
        if len(listed) > MAX_LISTED_CANCELLATIONS:
            ready = False
        return CancellationMessage(
            at=now,
            incarnation=self._incarnation,
            revision=cache.revision,
            heard=dict(self._latest_stamps),
            complete=ready,
            since=since,
            cancelled=listed if ready else [],
        )

    def receive(
        self,
        now: Seconds,
        own_name: ControllerName,
        peer: ControllerName,
        message: CancellationMessage,
        cache: WatchCache,
    ) -> None:
        """Process a peer's message, and add the listed cancellations to the watch cache.

        Args:
            now: the monotonic clock of this process.
            own_name: this controller.
            peer: the sender; a message from outside this deployment is ignored.
            message: the peer's message.
            cache: this controller's copy of the records.
        """
        if peer not in self._peers:
            return
        acknowledged = message.heard.get(own_name, NO_STAMP)
        self._latest_stamps[peer] = MessageStamp(message.incarnation, message.at)
        self._peer_revisions[peer] = PeerRevision(now, message.revision)
        for version, job in message.cancelled:
            cache.apply_announced_cancellation(job, version)
        # The peer had received this controller's message stamped `acknowledged` before it made the
        # list. A list that begins after the revision read here may lack cancellations in between.
        if (
            message.complete
            and acknowledged.incarnation == self._incarnation
            and message.since <= cache.revision
        ):
            self._acknowledged_at[peer] = max(
                acknowledged.at, self._acknowledged_at.get(peer, acknowledged.at)
            )

    def complete_as_of(self, now: Seconds) -> Seconds:
        """The time up to which every cancellation acknowledged by other controllers is known here.

        `NEVER_S` while a peer has not yet replied, or a controller is missing from the peers.
        """
        if not self._knows_all_controllers:
            return NEVER_S
        return min((self._acknowledged_at.get(peer, NEVER_S) for peer in self._peers), default=now)
