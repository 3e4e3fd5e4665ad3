"""What controllers tell one another without being asked, and users' requests put to a peer."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import anyio
from msgspec import UnsetType

from dapplewick.coordination.cancellation_exchange import CancellationMessage, CancellationWatch
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.peer_silence import PeerSilence
from dapplewick.coordination.records import Records
from dapplewick.coordination.wake import Wake
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol import peers
from dapplewick.protocol.peers import (
    ForwardedRequest,
    ForwardedResponse,
    Gossip,
    ShardStatus,
    StatusConfirmation,
)
from dapplewick.storage.formats import FORMAT_NOW
from dapplewick.storage.keys import SHARDS
from dapplewick.transport.http import Request, Response
from dapplewick.transport.peer import PeerLink
from dapplewick.types import ControllerName, FencingToken, JobId, Seconds, ShardName

GOSSIP_INTERVAL_S = 1.0
GOSSIP_AFTER_CANCELLATION_S = 0.1
CONTACT_S = 2.5  # a controller that reached the state service in this time says so to its peers
FORWARD_TO_WITHIN_S = 2.5  # a peer that said so in this time is asked in our place
FORWARDED_TIMEOUT_S = 1.0
CONTACT_CLAIM_S = 1.5  # how long a peer's word that it reaches the state service counts as now


class PeerContact(NamedTuple):
    """What a peer told last of its way to the state service."""

    at_s: Seconds  # when it told it, by this process's steady clock
    reaches_state_service: bool


class HeardOwner(NamedTuple):
    """The owner of a shard with the newest token that a peer has told of."""

    token: FencingToken
    controller: ControllerName


NO_OWNER_HEARD = HeardOwner(FencingToken(0), ControllerName(""))


class PeerExchange:
    """Gossip with the peers, and what is known by it."""

    def __init__(
        self,
        identity: Identity,
        links: Mapping[ControllerName, PeerLink],
        records: Records,
        cancellations: CancellationWatch,
        schedulers: Mapping[ShardName, ShardScheduler],
        *,
        wake: Wake,
        now: Callable[[], Seconds],
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._links = links
        self._records = records
        self._cancellations = cancellations
        self._schedulers = schedulers
        self._wake = wake
        self._now = now
        self._random = rng
        self.contacts: dict[ControllerName, PeerContact] = {}
        self.silence = PeerSilence(identity.name)
        self.heard_owners: dict[ShardName, HeardOwner] = {}
        self.running: dict[ControllerName, dict[JobId, int]] = {}  # tasks of each job

    async def run(self) -> None:
        """Tell the peers once a second, and soon after a cancellation, for ever."""
        while True:
            with anyio.move_on_after(GOSSIP_INTERVAL_S):
                await self._wake.wait()
                await anyio.sleep(GOSSIP_AFTER_CANCELLATION_S)
            self._wake.clear()
            self.silence.listen(self._now(), self._records.cache.controllers)
            self._post_gossip()

    def _post_gossip(self) -> None:
        gossip = Gossip(
            controller=self._identity.name,
            version=FORMAT_NOW,
            running=self._count_running(),
            shards=self._known_owners(),
            reaches_state_service=self._now() - self._records.contact_at < CONTACT_S,
        )
        cancellations = self._cancellations.message(
            self._now(), self._records.cache, self._records.ready
        )
        message = peers.encode(gossip) | peers.encode(cancellations)
        for link in self._links.values():
            link.post(gossip.kind, message)

    def _count_running(self) -> dict[JobId, int]:
        """Count the running tasks of this controller's shards."""
        running: dict[JobId, int] = {}
        for scheduler in self._schedulers.values():
            for job, count in scheduler.running_counts():
                running[job] = running.get(job, 0) + count
        self.running[self._identity.name] = running
        return running

    def _known_owners(self) -> dict[ShardName, tuple[FencingToken, ControllerName]]:
        cache = self._records.cache
        return {
            name: (FencingToken(cache.version(SHARDS + name)), ControllerName(shard.owner))
            for name, shard in cache.shards.items()
        }

    def hear_gossip(self, message: Mapping[str, Any]) -> None:
        """Take over what a peer tells.

        Raises:
            ValueError: the message is malformed.
        """
        gossip = peers.decode(message, Gossip)
        controller = gossip.controller
        self.silence.hear(self._now(), controller)
        self.contacts[controller] = PeerContact(self._now(), gossip.reaches_state_service)
        self.running[controller] = gossip.running
        for shard, (token, owner) in gossip.shards.items():
            if token > self.heard_owner(shard).token:
                self.heard_owners[shard] = HeardOwner(token, owner)
        if "heard" in message:  # the first versions tell nothing of cancellations
            cancellations = peers.decode(message, CancellationMessage)
            self._cancellations.hear(
                self._now(), self._identity.name, controller, cancellations, self._records.cache
            )
        self._records.apply_changed()

    def heard_owner(self, shard: ShardName) -> HeardOwner:
        """The owner of a shard by the peers' word, which may be newer than the records read."""
        return self.heard_owners.get(shard, NO_OWNER_HEARD)

    def running_tasks(self, job: JobId) -> int:
        """How many tasks of a job run on the machines of all shards, as far as known."""
        return sum(counts.get(job, 0) for counts in self.running.values())

    def any_reaches_state_service(self, now: Seconds) -> bool:
        """Whether a peer claims to reach the state service now."""
        return any(
            now - contact.at_s < CONTACT_CLAIM_S and contact.reaches_state_service
            for contact in self.contacts.values()
        )

    def confirm_status(self, status: ShardStatus, number: int) -> None:
        """Tell a shard's owner up to which number this leader has the shard's statuses."""
        if isinstance(status.controller, UnsetType):
            return
        link = self._links.get(status.controller)
        if link is None:
            return
        confirmation = StatusConfirmation(
            shard=status.shard,
            token=status.token,
            incarnation=self._identity.incarnation,
            number=number,
            version=FORMAT_NOW,
        )
        link.post(f"{confirmation.kind}:{status.shard}", peers.encode(confirmation))

    async def forward(self, request: Request) -> Response | None:
        """Put a user's request to a peer that reaches the state service.

        Returns:
            The peer's answer; None if no peer reaches the state service or answers in time.
        """
        now = self._now()
        eligible = [
            controller
            for controller, contact in self.contacts.items()
            if contact.reaches_state_service
            and now - contact.at_s < FORWARD_TO_WITHIN_S
            and controller in self._links
        ]
        if not eligible:
            return None
        forwarded = ForwardedRequest(
            method=request.method, target=request.target, body=request.body
        )
        link = self._links[self._random.choice(eligible)]
        reply = await link.ask(peers.encode(forwarded), FORWARDED_TIMEOUT_S)
        if reply is None or reply.get("status") in (None, 503):
            return None
        response = peers.decode(reply, ForwardedResponse)
        return Response(response.status, response.body, response.retry_after)
