"""Shares within a controller: the solver's runs, and what operators ask and order."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

import anyio
import anyio.to_thread
import msgspec

from dapplewick.partitions.commands import TransferRefusedError, cancellation, move_command
from dapplewick.partitions.demand import measure
from dapplewick.partitions.description import PartitionDescription
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import PartitionPlan, PlanError, convert, unknown_names
from dapplewick.partitions.rebalancer import PartitionRebalancer, TransferCommand
from dapplewick.partitions.solver import Problem, Targets, solve
from dapplewick.partitions.targets import holdings, supply
from dapplewick.partitions.timing import MoveTimes
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
from dapplewick.types import ControllerName, Seconds, ShardName, shard_name

if TYPE_CHECKING:
    from dapplewick.config import Settings, StateLimits
    from dapplewick.core.estimates import Estimates
    from dapplewick.core.leader.planner import LeaderPlanner
    from dapplewick.storage.state_client import StateClient
    from dapplewick.storage.watch_cache import WatchCache
    from dapplewick.transport.peer import PeerLink

log = logging.getLogger("dapplewick.partitions")

PLAN_S = 5.0  # the plan is solved anew this often
PLAN_REST = 40.0  # or less often: after a run this times its length passes
LOOK_S = 0.1
KNOWN_WITHIN_S = 3.0  # an order is known done in this time, or the operator is told to look
ASK_WITHIN_S = 3.5
LOG_PAUSE_S = 60.0  # between two complaints of the same kind

Solver = Callable[[Problem], Awaitable[Targets | None]]


async def solve_in_thread(problem: Problem) -> Targets | None:
    """Run the solver beside the event loop: workers' reports do not wait for it."""
    return await anyio.to_thread.run_sync(solve, problem)


class PartitionHost(Protocol):
    """What the service needs of the controller that it belongs to."""

    @property
    def settings(self) -> Settings:
        """The controller's settings."""
        ...

    @property
    def own_name(self) -> ControllerName:
        """The controller's name."""
        ...

    @property
    def cache(self) -> WatchCache:
        """The copy of the records."""
        ...

    @property
    def state(self) -> StateClient:
        """The client of the state service."""
        ...

    @property
    def estimates(self) -> Estimates:
        """The estimates of run times."""
        ...

    @property
    def leader(self) -> LeaderPlanner | None:
        """The planner of the present term, if the controller leads."""
        ...

    @property
    def links(self) -> Mapping[ControllerName, PeerLink]:
        """The links to the other controllers."""
        ...

    def now(self) -> Seconds:
        """The steady clock."""
        ...

    def wall(self) -> Seconds:
        """The time of day, in seconds since 1970 UTC."""
        ...

    def wake_leader(self, at_once: bool = False) -> None:
        """Ask for a planning pass; at once if work waits for it."""
        ...

    def limits_now(self) -> StateLimits:
        """How large values and transactions may be."""
        ...

    def stored(self, key: str, value: object, version: int) -> None:
        """Take over a write that is known to be done."""
        ...


class PartitionService:
    """One controller's part in the shares of zones. Without a plan it only dissolves them."""

    def __init__(self, plan: PartitionPlan | None, solver: Solver = solve_in_thread) -> None:
        self._initial = plan
        self._solver = solver
        self._plan = plan or PartitionPlan()
        self._plan_version = 0
        self._complained_at: dict[str, Seconds] = {}
        self._leader: LeaderPlanner | None = None
        self._times = MoveTimes()
        self.keeper: PartitionRebalancer | None = None

    def attach(self, controller: PartitionHost) -> None:
        """Belong to a controller."""
        self._controller = controller
        self._index = MachineIndex(controller.cache)

    # What the controller asks

    def shard_names(self, zones: list[str]) -> list[str]:
        """The parts that records of jobs may have to name: those of all shares, in all zones."""
        partitions = self._plan.partitions
        return [
            *zones,
            *(shard_name(zone, partition) for zone in zones for partition in partitions),
        ]

    def wanted_shards(self) -> list[ShardName]:
        """The parts of shares that are to have an owner."""
        return self.keeper.wanted_shards() if self.keeper is not None else []

    def lead(self, leader: LeaderPlanner) -> None:
        """Keep the shares as this leader; each term begins anew from the records."""
        if self._leader is not leader:
            self._leader = leader
            zones = self._controller.settings.deployment.zones
            self.keeper = PartitionRebalancer(
                self._controller.cache, self._index, zones, self._times
            )
        self._read_plan()
        assert self.keeper is not None
        self.keeper.plan = self._plan
        if self._initial is None:
            self.keeper.targets.known = True  # nothing for any share: all goes back

    # The plan

    def _read_plan(self) -> None:
        """Take over the plan that operators have stored; a bad one changes nothing."""
        if self._initial is None:
            return
        cache = self._controller.cache
        version = cache.version(PARTITION_PLAN)
        if version == self._plan_version:
            return
        self._plan_version = version
        try:
            plan = convert(cache.partition_plan) if version else self._initial
            complaint = self._unknown_names(plan)
        except PlanError as err:
            complaint = str(err)
        if complaint:
            self._complain("stored_plan_refused", complaint)
            return
        self._plan = plan
        log.info("event=plan_adopted version=%d partitions=%s", version, ",".join(plan.partitions))

    def _unknown_names(self, plan: PartitionPlan) -> str:
        deployment = self._controller.settings.deployment
        types = self._controller.cache.types or None
        return unknown_names(plan, (t.name for t in deployment.teams), deployment.zones, types)

    def _complain(self, event: str, reason: str) -> None:
        """Log a complaint, but not again and again."""
        now = self._controller.now()
        if now - self._complained_at.get(event, -1e9) >= LOG_PAUSE_S:
            self._complained_at[event] = now
            log.error("event=%s reason=%r", event, reason)

    async def run(self) -> None:
        """Solve the plan again and again while this controller leads."""
        while True:
            begun = self._controller.now()
            if self.keeper is not None and self._controller.leader is self._leader:
                await self._solve(self.keeper)
            await anyio.sleep(max(PLAN_S, PLAN_REST * (self._controller.now() - begun)))

    async def _solve(self, keeper: PartitionRebalancer) -> None:
        controller = self._controller
        if controller.cache.format < PARTITIONS_FORMAT or not controller.cache.types:
            return
        complaint = self._unknown_names(self._plan)
        if complaint:
            self._complain("plan_names_unknown", complaint)
            return
        self._index.refresh()
        wall = controller.wall()
        jobs = [job for _, job in controller.cache.each_live()]
        demand = measure(
            self._plan, controller.settings.deployment.teams, jobs, controller.estimates, wall
        )
        minute = int(wall // 60) % (24 * 60)
        problem = Problem(
            self._plan,
            minute,
            supply(controller.cache, self._index),
            demand,
            holdings(self._index),
        )
        try:
            solution = await self._solver(problem)
        except Exception as err:
            # A library's fault changes nothing: the targets in force stay.
            self._complain("solver_failed", repr(err))
            solution = None
        if keeper.targets.adopt(problem, solution):
            log.info(
                "event=targets_adopted targets=%s",
                ",".join(f"{c.zone}/{c.partition}/{c.type}:{n}" for c, n in keeper.targets.items()),
            )
            controller.wake_leader()

    # Operators

    async def answer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer an operator's command; a controller that does not lead asks the leader."""
        controller = self._controller
        if (
            controller.leader is None
            or self.keeper is None
            or controller.leader is not self._leader
        ):
            return await self._ask_leader(message)
        verb = message.get("verb")
        try:
            if verb == "show":
                return self._show()
            if verb == "plan":
                return await self._store_plan(message)
            if verb == "move":
                return await self._order_move(message)
            if verb == "cancel":
                return await self._order_cancel(message)
        except TransferRefusedError as err:
            return {"status": err.status, "error": str(err)}
        return {"status": 400, "error": "verb: show, plan, move or cancel is needed"}

    async def _ask_leader(self, message: dict[str, Any]) -> dict[str, Any]:
        controller = self._controller
        record = controller.cache.leader
        link = (
            controller.links.get(ControllerName(record.controller)) if record is not None else None
        )
        if link is None or message.get("forwarded"):
            return _unavailable("no controller leads now")
        said = await link.ask({**message, "forwarded": True}, ASK_WITHIN_S)
        return said if said is not None else _unavailable("the leader does not answer")

    def _show(self) -> dict[str, Any]:
        controller, keeper = self._controller, self.keeper
        assert keeper is not None and controller.leader is not None
        view = PartitionDescription(
            controller.now(),
            controller.wall(),
            controller.cache,
            controller.leader.shards.values(),
        )
        said = view.describe(self._plan, keeper.targets)
        return {
            "status": 200,
            "leader": controller.own_name,
            "plan": msgspec.to_builtins(self._plan),
            "times": self._times.view(),
            **said,
        }

    async def _store_plan(self, message: dict[str, Any]) -> dict[str, Any]:
        """Store a plan for all controllers, or go back to the one that they started with."""
        controller = self._controller
        given = message.get("plan")
        changes: dict[str, Any] = {}
        if given is not None:
            changes[PARTITION_PLAN] = self._checked_plan(given)
        version = controller.cache.version(PARTITION_PLAN)
        conditions = {PARTITION_PLAN: version, LEADER: controller.cache.version(LEADER)}
        deletes = [] if changes or not version else [PARTITION_PLAN]
        if not changes and not deletes:
            return {"status": 200}
        try:
            revision = await controller.state.transaction(conditions, changes, deletes)
        except TransactionConflictError:
            return _unavailable("the plan or the leader has changed meanwhile")
        except ValueTooLargeError:
            raise TransferRefusedError("plan: it is too large") from None
        except (RequestRefusedError, OutcomeUnknownError):
            return _unavailable("the state service did not confirm it; look with `shares show`")
        for key, value in changes.items():
            controller.stored(key, value, revision)
        if deletes:
            controller.cache.remove(PARTITION_PLAN, revision)
        return {"status": 200, "revision": revision}

    def _checked_plan(self, given: Any) -> Any:
        """A plan that an operator gives, as it is stored. The command has run its script: what
        that may take of a processor is not taken from the controller's."""
        try:
            if encoded_size(given) > self._controller.limits_now().value_bytes:
                raise PlanError("plan: it is larger than a value of the state service")
            plan = convert(given)
            complaint = self._unknown_names(plan)
        except (PlanError, TypeError) as err:
            complaint = " ".join(str(err).split())
        if complaint:
            raise TransferRefusedError(complaint)
        return msgspec.to_builtins(plan)

    async def _order_move(self, message: dict[str, Any]) -> dict[str, Any]:
        controller, keeper = self._controller, self.keeper
        assert keeper is not None
        if controller.cache.format < PARTITIONS_FORMAT:
            return _unavailable("some controllers do not understand shares yet")
        command = move_command(
            message,
            controller.cache,
            self._plan,
            controller.settings.deployment,
            controller.wall(),
        )
        if command.transfer not in controller.cache.transfers.records:
            return await self._carry_out(keeper, command)
        return self._said(command)

    async def _order_cancel(self, message: dict[str, Any]) -> dict[str, Any]:
        keeper = self.keeper
        assert keeper is not None
        return await self._carry_out(keeper, cancellation(message, self._controller.cache))

    async def _carry_out(
        self, keeper: PartitionRebalancer, command: TransferCommand
    ) -> dict[str, Any]:
        """Have an order written, and answer once its record is known to be stored."""
        keeper.commands.append(command)
        try:
            with anyio.move_on_after(KNOWN_WITHIN_S):
                while not self._is_known(command):
                    self._controller.wake_leader(at_once=True)
                    await anyio.sleep(LOOK_S)
                return self._said(command)
        finally:
            if command in keeper.commands:
                keeper.commands.remove(command)
        return _unavailable("it is not known to be stored yet; look with `shares show`")

    def _is_known(self, command: TransferCommand) -> bool:
        record = self._controller.cache.transfers.records.get(command.transfer)
        return record is not None and (command.record is not None or record.state == CANCELLED)

    def _said(self, command: TransferCommand) -> dict[str, Any]:
        record = self._controller.cache.transfers.records[command.transfer]
        return {"status": 200, "id": command.transfer, "state": record.state}


def _unavailable(reason: str) -> dict[str, Any]:
    return {"status": 503, "error": reason}
