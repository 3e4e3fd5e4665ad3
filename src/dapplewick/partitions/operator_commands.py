"""The leader's part in operators' commands: they are checked, carried out and answered."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import anyio
import msgspec

from dapplewick.partitions.commands import TransferRefusedError, cancellation, move_command
from dapplewick.partitions.description import PartitionDescriber
from dapplewick.partitions.host import LeaderTerm, PartitionHost
from dapplewick.partitions.messages import (
    BAD_REQUEST,
    CANCEL,
    MOVE,
    PLAN,
    SHOW,
    Answer,
    PartitionsDescription,
    PlanStored,
    Refusal,
    TransferAnswer,
    unavailable,
)
from dapplewick.partitions.plan import PlanError, convert
from dapplewick.partitions.plan_in_force import PlanInForce
from dapplewick.partitions.rebalancer import PartitionRebalancer
from dapplewick.partitions.timing import TransferDurations
from dapplewick.partitions.transfer_drafts import TransferCommand
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.errors import (
    OutcomeUnknownError,
    RequestRefusedError,
    TransactionConflictError,
    ValueTooLargeError,
)
from dapplewick.storage.formats import PARTITIONS_FORMAT
from dapplewick.storage.keys import LEADER, PARTITION_PLAN
from dapplewick.storage.transfers import CANCELLED
from dapplewick.types import Revision

LOOK_S = 0.1  # the records are looked at this often for a command's outcome
KNOWN_WITHIN_S = 3.0  # a command is known done in this time, or the operator is told to look


class OperatorCommands:
    """Carries out commands on one controller while it leads."""

    def __init__(
        self, host: PartitionHost, plan_in_force: PlanInForce, times: TransferDurations
    ) -> None:
        self._host = host
        self._plan_in_force = plan_in_force
        self._times = times

    async def answer(
        self, message: Mapping[str, object], term: LeaderTerm, rebalancer: PartitionRebalancer
    ) -> Answer:
        """Carry a command out, and answer once that is known."""
        verb = message.get("verb")
        try:
            if verb == SHOW:
                return self._show(term, rebalancer)
            if verb == PLAN:
                return await self._store_plan(message)
            if verb == MOVE:
                return await self._move(message, rebalancer)
            if verb == CANCEL:
                return await self._cancel(message, rebalancer)
        except TransferRefusedError as err:
            return Refusal(err.status, str(err))
        return Refusal(BAD_REQUEST, "verb: show, plan, move or cancel is needed")

    def _show(self, term: LeaderTerm, rebalancer: PartitionRebalancer) -> PartitionsDescription:
        host = self._host
        describer = PartitionDescriber(
            host.now(), host.wall_time(), host.cache, term.shards.values()
        )
        return describer.describe(
            host.own_name, self._plan_in_force.plan, rebalancer.targets, self._times.summaries()
        )

    # The plan

    async def _store_plan(self, message: Mapping[str, object]) -> Answer:
        """Store a plan for all controllers, or go back to the one that they started with."""
        cache = self._host.cache
        given = message.get("plan")
        changes: dict[str, Any] = {}
        if given is not None:
            changes[PARTITION_PLAN] = self._checked_plan(given)
        version = cache.version(PARTITION_PLAN)
        deletes = [] if changes or not version else [PARTITION_PLAN]
        if not changes and not deletes:
            return PlanStored()
        conditions = {PARTITION_PLAN: version, LEADER: cache.version(LEADER)}
        try:
            revision = await self._host.state.transaction(conditions, changes, deletes)
        except TransactionConflictError:
            return unavailable("the plan or the leader has changed meanwhile")
        except ValueTooLargeError:
            raise TransferRefusedError("plan: it is too large") from None
        except (RequestRefusedError, OutcomeUnknownError):
            return unavailable("the state service did not confirm it; look with `shares show`")
        for key, value in changes.items():
            self._host.stored(key, value, revision)
        if deletes:
            cache.remove(PARTITION_PLAN, revision)
        return PlanStored(revision=Revision(revision))

    def _checked_plan(self, given: object) -> object:
        """A plan that an operator gives, as it is stored.

        The command has run its script: what that may take of a processor is not taken from the
        controller's.

        Raises:
            TransferRefusedError: the plan can't be used.
        """
        try:
            if encoded_size(given) > self._host.limits_now().value_bytes:
                raise PlanError("plan: it is larger than a value of the state service")
            plan = convert(given)
            complaint = self._plan_in_force.find_unknown_name(plan)
        except (PlanError, TypeError) as err:
            complaint = " ".join(str(err).split())
        if complaint:
            raise TransferRefusedError(complaint)
        return msgspec.to_builtins(plan)

    # Transfers

    async def _move(self, message: Mapping[str, object], rebalancer: PartitionRebalancer) -> Answer:
        host = self._host
        if host.cache.format < PARTITIONS_FORMAT:
            return unavailable("some controllers do not understand shares yet")
        command = move_command(
            message,
            host.cache,
            self._plan_in_force.plan,
            host.settings.deployment,
            host.wall_time(),
        )
        if command.transfer not in host.cache.transfers.records:
            return await self._carry_out(rebalancer, command)
        return self._transfer_answer(command)

    async def _cancel(
        self, message: Mapping[str, object], rebalancer: PartitionRebalancer
    ) -> Answer:
        return await self._carry_out(rebalancer, cancellation(message, self._host.cache))

    async def _carry_out(self, rebalancer: PartitionRebalancer, command: TransferCommand) -> Answer:
        """Have a transfer command written, and answer once its record is known to be stored."""
        rebalancer.commands.append(command)
        try:
            with anyio.move_on_after(KNOWN_WITHIN_S):
                while not self._is_known(command):
                    self._host.wake_leader(at_once=True)
                    await anyio.sleep(LOOK_S)
                return self._transfer_answer(command)
        finally:
            if command in rebalancer.commands:
                rebalancer.commands.remove(command)
        return unavailable("it is not known to be stored yet; look with `shares show`")

    def _is_known(self, command: TransferCommand) -> bool:
        record = self._host.cache.transfers.records.get(command.transfer)
        return record is not None and (command.record is not None or record.state == CANCELLED)

    def _transfer_answer(self, command: TransferCommand) -> TransferAnswer:
        record = self._host.cache.transfers.records[command.transfer]
        return TransferAnswer(id=command.transfer, state=record.state)
