"""What a controller knows of cancellations while it can't read the records.

A worker's lease may be kept up only by a controller that can't have missed a cancellation for
long. The records tell of all of them; in an outage nobody reads these. But users are told of a
cancellation only by controllers, and each of them has it in its watch cache before it tells. So
once every other controller has listed all that its watch cache has, none told before can be missed.

How old that is counts from when the question was sent: messages carry the sender's time, and the
answer names the newest time that it had heard. A lost message, a peer that is not heard, or one
that has not read the records since it started leaves the age growing; nothing rests on speed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from dapplewick.protocol.job_spec import JOB_ID_PATTERN
from dapplewick.protocol.workers import COUNTER_LIMIT
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, ControllerName, JobId, Revision, Seconds

HEARD_WITHIN_S = 10.0  # a peer not heard for longer is not waited for with what it has not read
MAX_LISTED = 2000  # cancellations in one message; with more of them it assures nothing


class Question(NamedTuple):
    """A peer's question, by which its answers are told from those to earlier ones."""

    incarnation: str
    at: Seconds  # by the asking controller's steady clock


class PeerRead(NamedTuple):
    """Up to which revision a peer said that it had read the records."""

    heard_at: Seconds  # by this controller's steady clock
    revision: Revision


NO_QUESTION = Question("", 0.0)


class CancellationMessage(msgspec.Struct):
    """What a controller tells its peers of cancellations; at the same time a question to them.

    It stands in the same map as `dapplewick.protocol.peers.Gossip`.
    """

    at: Seconds
    incarnation: str = msgspec.field(name="boot")
    revision: Revision
    heard: dict[ControllerName, Question]  # the newest question of each peer
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
            if not 0 < version < COUNTER_LIMIT or not JOB_ID_PATTERN.match(job):
                raise ValueError("not a cancellation")


class CancellationWatch:
    """One controller's side of the exchange; a state machine without I/O.

    Times are seconds of the steady clock of the controller that the field or argument names.
    """

    def __init__(self, incarnation: str, peers: Iterable[ControllerName], count: int) -> None:
        self._incarnation = incarnation
        self._peers = frozenset(peers)
        # Who is not named among the peers can't be asked, and may tell users of cancellations.
        self._all_named = len(self._peers) + 1 >= count
        self._questions: dict[ControllerName, Question] = {}
        self._reads: dict[ControllerName, PeerRead] = {}
        self._answered: dict[ControllerName, Seconds] = {}

    def message(self, now: Seconds, cache: WatchCache, ready: bool) -> CancellationMessage:
        """Make what to tell the peers now; at the same time a question to them.

        Args:
            now: the steady clock of this process.
            cache: what this controller has read of the records.
            ready: whether it has read the records since it started.
        """
        recent = [
            read.revision for read in self._reads.values() if now - read.heard_at < HEARD_WITHIN_S
        ]
        since = min(recent, default=cache.revision)
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
        """Take over a peer's message; what it lists goes into the watch cache.

        Args:
            now: the steady clock of this process.
            own_name: this controller.
            peer: the sender; one that is not of this deployment is ignored.
            message: what the peer tells.
            cache: this controller's copy of the records.
        """
        if peer not in self._peers:
            return  # not of this deployment
        question = message.heard.get(own_name, NO_QUESTION)
        self._questions[peer] = Question(message.incarnation, message.at)
        self._reads[peer] = PeerRead(now, message.revision)
        for version, job in message.cancelled:
            cache.told_cancelled(job, version)
        # A list that begins after what we have read may lack some.
        if (
            message.complete
            and question.incarnation == self._incarnation
            and message.since <= cache.revision
        ):
            self._answered[peer] = max(question.at, self._answered.get(peer, question.at))

    def known_at(self, now: Seconds) -> Seconds:
        """The time by which all cancellations that other controllers had told are known here.

        It is far in the past while a peer has not answered yet, or can't be asked.
        """
        if not self._all_named:
            return NEVER_S
        return min((self._answered.get(peer, NEVER_S) for peer in self._peers), default=now)
