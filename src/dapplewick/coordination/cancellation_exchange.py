"""What a controller knows of cancellations while it can't read the records.

A worker's lease may be kept up only by a controller that can't have missed a cancellation for
long. The records tell of all of them; in an outage nobody reads these. But users are told of a
cancellation only by controllers, and each of them has it in its mirror before it tells. So once
every other controller has listed all that its mirror has, none told before can be missed.

How old that is counts from when the question was sent: messages carry the sender's time, and the
answer names the newest time that it had heard. A lost message, a peer that is not heard, or one
that has not read the records since it started leaves the age growing; nothing rests on speed.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from dapplewick.protocol.job_spec import JOB_ID
from dapplewick.protocol.workers import MAX_COUNT
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import ControllerName, JobId, Revision, Seconds

HEARD_S = 10.0  # a peer not heard for longer is not waited for with what it has not read
MAX_LISTED = 2000  # cancellations in one message; with more of them it assures nothing


class CancellationMessage(msgspec.Struct):
    """What a controller tells its peers of cancellations; at the same time a question to them.

    It stands in the same map as `dapplewick.protocol.peers.Gossip`.
    """

    at: Seconds
    incarnation: str = msgspec.field(name="boot")
    revision: Revision
    heard: dict[ControllerName, tuple[str, Seconds]]  # the newest question of each peer
    complete: bool  # whether the list is all that is known and is newer than `since`
    since: Revision
    cancelled: list[tuple[int, JobId]]

    def __post_init__(self) -> None:
        """Refuse a list that no controller sends, whole: what it names would count as cancelled.

        Raises:
            ValueError: it is too long, or an entry is not a cancellation.
        """
        if len(self.cancelled) > MAX_LISTED:
            raise ValueError("too many cancellations")
        for version, job in self.cancelled:
            if not 0 < version < MAX_COUNT or not JOB_ID.match(job):
                raise ValueError("not a cancellation")


class CancellationWatch:
    """One controller's side of the exchange; a state machine without I/O."""

    def __init__(self, incarnation: str, peers: Iterable[ControllerName], count: int) -> None:
        self._incarnation = incarnation
        self._peers = frozenset(peers)
        # Who is not named among the peers can't be asked, and may tell users of cancellations.
        self._all_named = len(self._peers) + 1 >= count
        self._questions: dict[ControllerName, tuple[str, Seconds]] = {}
        self._revisions: dict[ControllerName, tuple[Seconds, Revision]] = {}
        self._answered: dict[ControllerName, Seconds] = {}

    def message(self, now: Seconds, cache: WatchCache, ready: bool) -> CancellationMessage:
        """What to tell the peers now; at the same time a question to them."""
        read = [r for at, r in self._revisions.values() if now - at < HEARD_S]
        since = min(read, default=cache.revision)
        listed = cache.cancellations(since)
        if len(listed) > MAX_LISTED:
            ready = False
        return CancellationMessage(
            at=now,
            incarnation=self._incarnation,
            revision=cache.revision,
            heard=dict(self._questions),
            complete=ready,
            since=since,
            cancelled=listed if ready else [],
        )

    def hear(
        self,
        now: Seconds,
        own_name: ControllerName,
        peer: ControllerName,
        message: CancellationMessage,
        cache: WatchCache,
    ) -> None:
        """Take over a peer's message; what it lists goes into the watch cache."""
        if peer not in self._peers:
            return  # not of this deployment
        incarnation, at = message.heard.get(own_name, ("", 0.0))
        self._questions[peer] = (message.incarnation, message.at)
        self._revisions[peer] = (now, message.revision)
        for version, job in message.cancelled:
            cache.told_cancelled(job, version)
        # A list that begins after what we have read may lack some.
        if (
            message.complete
            and incarnation == self._incarnation
            and message.since <= cache.revision
        ):
            self._answered[peer] = max(at, self._answered.get(peer, at))

    def known_at(self, now: Seconds) -> Seconds:
        """Every cancellation that another controller had told by this time is known here."""
        if not self._all_named:
            return -1e9
        return min((self._answered.get(peer, -1e9) for peer in self._peers), default=now)
