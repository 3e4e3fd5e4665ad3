"""The controller's partition service: rebalancing while it leads, and operators' commands."""

from __future__ import annotations

from typing import Any

import anyio

from dapplewick.partitions import messages
from dapplewick.partitions.host import LeaderTerm, PartitionHost
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.operator_commands import OperatorCommandHandler
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.plan_in_force import PlanInForce, RateLimitedErrorLog
from dapplewick.partitions.rebalancer import PartitionRebalancer
from dapplewick.partitions.target_solving import Solver, TargetUpdater, solve_in_thread
from dapplewick.partitions.timing import TransferDurations
from dapplewick.types import ControllerName, ShardName, shard_name

MIN_SOLVE_DELAY_S = 5.0  # minimum delay between two runs of the solver
SOLVE_DELAY_FACTOR = 40.0  # minimum delay, as a multiple of the last run's duration
LEADER_TIMEOUT_S = 3.5  # for the leader's answer to a forwarded command


class PartitionService:
    """Manages the partitions of zones on one controller.

    Without a plan the service only dissolves partitions: it moves all machines back to the zones'
    default shards.

    Attributes:
        rebalancer: the rebalancer of this controller's latest term; None before the first term.
    """

    def __init__(self, plan: PartitionPlan | None, solver: Solver = solve_in_thread) -> None:
        self._initial_plan = plan
        self._solver = solver
        self._term: LeaderTerm | None = None
        self._durations = TransferDurations()
        self.rebalancer: PartitionRebalancer | None = None

    def attach(self, host: PartitionHost) -> None:
        """Attach the service to its controller; called once, before any other method."""
        error_log = RateLimitedErrorLog()
        self._host = host
        self._index = MachineIndex(host.cache)
        self._plan_in_force = PlanInForce(
            self._initial_plan, host.cache, host.settings.deployment, error_log
        )
        self._target_updater = TargetUpdater(
            host, self._index, self._plan_in_force, error_log, self._solver
        )
        self._command_handler = OperatorCommandHandler(host, self._plan_in_force, self._durations)

    # Called by the controller

    def shard_names(self, zones: list[str]) -> list[str]:
        """All shards that job records may refer to: default shards of zones, partition shards."""
        partitions = self._plan_in_force.plan.partitions
        return [
            *zones,
            *(shard_name(zone, partition) for zone in zones for partition in partitions),
        ]

    def required_shards(self) -> list[ShardName]:
        """The shards of partitions that need an owner."""
        return self.rebalancer.required_shards() if self.rebalancer is not None else []

    def update_term(self, term: LeaderTerm) -> None:
        """Update the plan, and create a new rebalancer if the term of leadership is new.

        The rebalancer of a new term starts from the stored records.
        """
        if self._term is not term:
            self._term = term
            zones = self._host.settings.deployment.zones
            self.rebalancer = PartitionRebalancer(
                self._host.cache, self._index, zones, self._durations
            )
        self._plan_in_force.refresh(self._host.now())
        assert self.rebalancer is not None
        self.rebalancer.plan = self._plan_in_force.plan
        if self._initial_plan is None:
            # All targets are 0, so all machines return to the zones' default shards.
            self.rebalancer.targets.known = True

    async def run(self) -> None:
        """Solve the plan periodically while this controller leads."""
        while True:
            started_at = self._host.now()
            if self.rebalancer is not None and self._host.leader is self._term:
                await self._target_updater.run_once(self.rebalancer.targets)
            elapsed_s = self._host.now() - started_at
            await anyio.sleep(max(MIN_SOLVE_DELAY_S, SOLVE_DELAY_FACTOR * elapsed_s))

    # Commands of operators

    async def answer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer an operator's command, or forward it if another controller leads."""
        term = self._host.leader
        if term is None or self.rebalancer is None or term is not self._term:
            return await self._forward_to_leader(message)
        return messages.encode(await self._command_handler.answer(message, term, self.rebalancer))

    async def _forward_to_leader(self, message: dict[str, Any]) -> dict[str, Any]:
        record = self._host.cache.leader
        link = None
        if record is not None:
            link = self._host.links.get(ControllerName(record.controller))
        if link is None or message.get("forwarded"):
            return messages.encode(messages.unavailable("no controller leads now"))
        answer = await link.request({**message, "forwarded": True}, LEADER_TIMEOUT_S)
        if answer is None:
            return messages.encode(messages.unavailable("the leader does not answer"))
        return answer
