"""Validates, executes and answers operators' commands on the leader."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import anyio
import msgspec

from dapplewick.partitions.commands import CommandRefusedError, cancel_command, move_command
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

RECORD_POLL_INTERVAL_S = 0.1  # polling of the cached records for a command's outcome
CONFIRMATION_TIMEOUT_S = 3.0  # afterwards the answer refers the operator to `shares show`


class OperatorCommandHandler:
    """Executes operators' commands while this controller leads."""

    def __init__(
        self, host: PartitionHost, plan_in_force: PlanInForce, durations: TransferDurations
    ) -> None:
        self._host = host
        self._plan_in_force = plan_in_force
        self._durations = durations

    async def answer(
        self, message: Mapping[str, object], term: LeaderTerm, rebalancer: PartitionRebalancer
    ) -> Answer:
        """Execute a command, and answer once its outcome is known or the time limit expires."""
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
        except CommandRefusedError as err:
            return Refusal(err.status, str(err))
        return Refusal(BAD_REQUEST, "verb: show, plan, move or cancel is needed")

    def _show(self, term: LeaderTerm, rebalancer: PartitionRebalancer) -> PartitionsDescription:
        host = self._host
        describer = PartitionDescriber(
            host.now(), host.wall_time(), host.cache, term.shards.values()
        )
        return describer.describe(
            host.own_name, self._plan_in_force.plan, rebalancer.targets, self._durations.summaries()
        )

    # Plan commands

    async def _store_plan(self, message: Mapping[str, object]) -> Answer:
        """Store a plan for all controllers, or delete it to restore the initial plan."""
        cache = self._host.cache
        submitted = message.get("plan")
        changes: dict[str, Any] = {}
        if submitted is not None:
            changes[PARTITION_PLAN] = self._validated_plan(submitted)
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
            raise CommandRefusedError("plan: it is too large") from None
        except (RequestRefusedError, OutcomeUnknownError):
            return unavailable("the state service did not confirm it; look with `shares show`")
        for key, value in changes.items():
            self._host.apply_stored_write(key, value, revision)
        if deletes:
            cache.remove(PARTITION_PLAN, revision)
        return PlanStored(revision=Revision(revision))

    def _validated_plan(self, submitted: object) -> object:
        """Validate an operator's plan and return its stored form.

        The plan arrives as plain values: the operator's command line has already run the script, so
        a slow script takes no processor time from the controller.

        Raises:
            CommandRefusedError: the plan is invalid.
        """
        try:
            if encoded_size(submitted) > self._host.limits_now().value_bytes:
                raise PlanError("plan: it is larger than a value of the state service")
            plan = convert(submitted)
            problem = self._plan_in_force.find_unknown_name(plan)
        except (PlanError, TypeError) as err:
            problem = " ".join(str(err).split())
        if problem:
            raise CommandRefusedError(problem)
        return msgspec.to_builtins(plan)

    # Transfer commands

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
            return await self._execute(rebalancer, command)
        return self._transfer_answer(command)

    async def _cancel(
        self, message: Mapping[str, object], rebalancer: PartitionRebalancer
    ) -> Answer:
        return await self._execute(rebalancer, cancel_command(message, self._host.cache))

    async def _execute(self, rebalancer: PartitionRebalancer, command: TransferCommand) -> Answer:
        """Queue a transfer command for the next pass, and answer once its record is stored.

        If it is not known to be stored within `CONFIRMATION_TIMEOUT_S`, the answer says so.
        """
        rebalancer.commands.append(command)
        try:
            with anyio.move_on_after(CONFIRMATION_TIMEOUT_S):
                while not self._is_stored(command):
                    self._host.wake_leader(at_once=True)
                    await anyio.sleep(RECORD_POLL_INTERVAL_S)
                return self._transfer_answer(command)
        finally:
            if command in rebalancer.commands:
                rebalancer.commands.remove(command)
        return unavailable("it is not known to be stored yet; look with `shares show`")

    def _is_stored(self, command: TransferCommand) -> bool:
        record = self._host.cache.transfers.records.get(command.transfer)
        return record is not None and (command.record is not None or record.state == CANCELLED)

    def _transfer_answer(self, command: TransferCommand) -> TransferAnswer:
        record = self._host.cache.transfers.records[command.transfer]
        return TransferAnswer(id=command.transfer, state=record.state)
