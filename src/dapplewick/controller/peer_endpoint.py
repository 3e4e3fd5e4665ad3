"""Dispatches messages of peers and operators by their kind."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from dapplewick.controller.partition_service_selector import PartitionServiceSelector
from dapplewick.controller.status import StatusReporter
from dapplewick.controller.user_api import NO_PATH, UserApi
from dapplewick.coordination.leadership import Leadership
from dapplewick.coordination.peer_exchange import PeerExchange
from dapplewick.coordination.status_confirmations import Confirmation, StatusConfirmationTable
from dapplewick.protocol import peers
from dapplewick.protocol.peers import (
    ForwardedRequest,
    ForwardedResponse,
    ShardStatus,
    StatusConfirmation,
)
from dapplewick.transport.http import Request
from dapplewick.types import Seconds


@dataclass(eq=False, kw_only=True)
class PeerEndpoint:
    """Handles messages of peer connections and returns responses for kinds that have one."""

    leadership: Leadership
    exchange: PeerExchange
    confirmations: StatusConfirmationTable
    partitions: PartitionServiceSelector
    status: StatusReporter
    user_api: UserApi
    now: Callable[[], Seconds]

    async def on_request(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """Handle any message on a peer connection.

        Returns:
            The response to send on the connection, if the kind of message has one.

        Raises:
            ValueError: the message is malformed.
        """
        kind = message.get("kind")
        if kind == peers.KIND_PARTITION_COMMAND:
            return await self._answer_partition_command(message)
        if kind == peers.KIND_FORWARDED_REQUEST:
            return await self._answer_forwarded(message)
        return self.on_message(message)

    def on_message(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """Handle a message whose kind needs no I/O.

        Returns:
            The response to send on the connection, if the kind of message has one.

        Raises:
            ValueError: the message is malformed.
        """
        kind = message.get("kind")
        if kind == peers.KIND_CONTROLLER_STATUS:
            return self.status.describe()
        if kind == peers.KIND_SHARD_STATUS:
            self._receive_shard_status(message)
        elif kind == peers.KIND_STATUS_CONFIRMATION:
            self._receive_confirmation(message)
        elif kind == peers.KIND_GOSSIP:
            self.exchange.receive_gossip(message)
        return None

    def _receive_shard_status(self, message: dict[str, Any]) -> None:
        planner = self.leadership.planner
        if planner is None:
            return
        status = peers.decode(message, ShardStatus)
        status_number = planner.receive_shard_status(self.now(), status)
        self.leadership.pass_wake.set()
        self.exchange.confirm_status(status, status_number)

    def _receive_confirmation(self, message: dict[str, Any]) -> None:
        reply = peers.decode(message, StatusConfirmation)
        self.confirmations.confirm(
            reply.shard, Confirmation(reply.token, reply.incarnation, reply.number)
        )

    async def _answer_forwarded(self, message: dict[str, Any]) -> dict[str, Any]:
        """Respond to a user's request, forwarded by a peer that can't reach the state service."""
        forwarded = peers.decode(message, ForwardedRequest)
        request = Request(forwarded.method, forwarded.target, forwarded.body, False)
        response = await self.user_api.handle_locally(request) or NO_PATH
        forwarded_response = ForwardedResponse(
            status=response.status, body=response.body, retry_after=response.retry_after
        )
        return peers.encode(forwarded_response)

    async def _answer_partition_command(self, message: dict[str, Any]) -> dict[str, Any]:
        """Respond to an operator's command on partitions."""
        service = self.partitions.service
        if service is None:
            return {"status": 404, "error": "shares are not switched on here"}
        return await service.answer(message)
