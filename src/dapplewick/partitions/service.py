"""Partitions within a controller: what it asks of them while it leads, and operators' commands."""

from __future__ import annotations

from typing import Any

import anyio

from dapplewick.partitions import messages
from dapplewick.partitions.host import LeaderTerm, PartitionHost
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.operator_commands import OperatorCommands
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.plan_in_force import ComplaintLog, PlanInForce
from dapplewick.partitions.rebalancer import PartitionRebalancer
from dapplewick.partitions.target_solving import Solver, TargetSolving, solve_in_thread
from dapplewick.partitions.timing import TransferDurations
from dapplewick.types import ControllerName, ShardName, shard_name

SOLVE_INTERVAL_S = 5.0  # the plan is solved anew this often
SOLVE_REST = 40.0  # or less often: after a run this times its length passes
ASK_WITHIN_S = 3.5


class PartitionService:
    """One controller's part in the partitions of zones.

    Without a plan it only dissolves them: all machines go back to the zones' own shards.

    Attributes:
        rebalancer: moves machines in this controller's term; None before it has led.
    """

    def __init__(self, plan: PartitionPlan | None, solver: Solver = solve_in_thread) -> None:
        self._initial_plan = plan
        self._solver = solver
        self._term: LeaderTerm | None = None
        self._times = TransferDurations()
        self.rebalancer: PartitionRebalancer | None = None

    def attach(self, host: PartitionHost) -> None:
        """Belong to a controller; called once, before all else."""
        complaints = ComplaintLog()
        self._host = host
        self._index = MachineIndex(host.cache)
        self._plan_in_force = PlanInForce(
            self._initial_plan, host.cache, host.settings.deployment, complaints
        )
        self._solving = TargetSolving(
            host, self._index, self._plan_in_force, complaints, self._solver
        )
        self._commands = OperatorCommands(host, self._plan_in_force, self._times)

    # What the controller asks

    def shard_names(self, zones: list[str]) -> list[str]:
        """The shards that job records may have to name: those of all partitions, in all zones."""
        partitions = self._plan_in_force.plan.partitions
        return [
            *zones,
            *(shard_name(zone, partition) for zone in zones for partition in partitions),
        ]

    def wanted_shards(self) -> list[ShardName]:
        """The shards of partitions that are to have an owner."""
        return self.rebalancer.wanted_shards() if self.rebalancer is not None else []

    def update_term(self, term: LeaderTerm) -> None:
        """Rebalance in this term of leadership; each begins anew from the records."""
        if self._term is not term:
            self._term = term
            zones = self._host.settings.deployment.zones
            self.rebalancer = PartitionRebalancer(self._host.cache, self._index, zones, self._times)
        self._plan_in_force.refresh(self._host.now())
        assert self.rebalancer is not None
        self.rebalancer.plan = self._plan_in_force.plan
        if self._initial_plan is None:
            self.rebalancer.targets.known = True  # nothing for any partition: all goes back

    async def run(self) -> None:
        """Solve the plan again and again while this controller leads."""
        while True:
            begun = self._host.now()
            if self.rebalancer is not None and self._host.leader is self._term:
                await self._solving.run_once(self.rebalancer.targets)
            took = self._host.now() - begun
            await anyio.sleep(max(SOLVE_INTERVAL_S, SOLVE_REST * took))

    # Operators

    async def answer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer an operator's command; a controller that does not lead asks the leader."""
        term = self._host.leader
        if term is None or self.rebalancer is None or term is not self._term:
            return await self._ask_leader(message)
        return messages.encode(await self._commands.answer(message, term, self.rebalancer))

    async def _ask_leader(self, message: dict[str, Any]) -> dict[str, Any]:
        record = self._host.cache.leader
        link = None
        if record is not None:
            link = self._host.links.get(ControllerName(record.controller))
        if link is None or message.get("forwarded"):
            return messages.encode(messages.unavailable("no controller leads now"))
        answer = await link.ask({**message, "forwarded": True}, ASK_WITHIN_S)
        if answer is None:
            return messages.encode(messages.unavailable("the leader does not answer"))
        return answer
