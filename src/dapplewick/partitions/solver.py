"""Whole machines for each partition, by the HiGHS solver.

The model is a small mixed-integer program: one variable for each partition, zone and type that a
rule covers. It is solved on one thread within a bounded time; without a solution in that time the
targets in force stay.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from dapplewick.partitions.demand import PartitionDemand
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.types import Resources, Seconds

TIME_LIMIT_S = 0.5
PRESSING_COST = 100.0  # of a slot-sized shortfall of pressing work, against other work's 1
MOVE_COST = 0.05  # of each machine that has to move
RELATIVE_GAP = 0.01  # a solution this close to the best possible one is taken


class Cell(NamedTuple):
    """Machines of one type in one zone that belong to one partition."""

    partition: str
    zone: str
    type: str

    @property
    def kind(self) -> MachineKind:
        """The type of the machines and their zone."""
        return MachineKind(self.zone, self.type)


class MachineKind(NamedTuple):
    """Machines of one type in one zone, whichever partition has them."""

    zone: str
    type: str


class Supply(NamedTuple):
    """Machines of one type in one zone: what each has, and how many there are."""

    resources: Resources
    machines: int


class Problem(NamedTuple):
    """What a solution is to be found for."""

    plan: PartitionPlan
    minute: int  # of the day, in UTC
    supply: Mapping[MachineKind, Supply]
    demand: dict[str, PartitionDemand]
    have: dict[Cell, int]  # what each partition has now


Targets = dict[Cell, int]


class Bounds(NamedTuple):
    """How many machines a partition has to have, and may have."""

    min_machines: int
    max_machines: int


def bounds(problem: Problem) -> dict[Cell, Bounds]:
    """How many machines each partition may have of each kind.

    Fractions of machines are rounded down for what is promised, so that the promises of all
    partitions together never exceed what there is.
    """
    limits = {}
    for name, partition in problem.plan.partitions.items():
        for (zone, type_), supply in problem.supply.items():
            rule = partition.rule(type_, zone, problem.minute)
            if rule is not None and rule.most > 0.0 and supply.machines > 0:
                min_machines = math.floor(rule.least * supply.machines + 1e-9)
                max_machines = max(min_machines, math.floor(rule.most * supply.machines + 1e-9))
                limits[Cell(name, zone, type_)] = Bounds(min_machines, max_machines)
    return limits


def solve(problem: Problem, time_limit_s: Seconds = TIME_LIMIT_S) -> Targets | None:
    """Find targets that miss least of what is wanted and move few machines.

    Args:
        problem: what the plan, the work and the machines are now.
        time_limit_s: the solver's time limit, in seconds.

    Returns:
        The targets; None if none were found in time. Partitions and kinds that no rule covers have
        no entry: their target is 0.
    """
    limits = bounds(problem)
    if not limits:
        return {}
    # Loaded only here: it brings numpy, and only a leader with partitions needs it.
    import highspy

    model = _new_model(time_limit_s)
    integer = highspy.HighsVarType.kInteger
    columns = {
        cell: model.addVariable(lb=b.min_machines, ub=b.max_machines, type=integer)
        for cell, b in limits.items()
    }
    _keep_to_supply(model, problem, columns)
    objective = _moves(model, problem, columns) + _shortfalls(model, problem, columns)
    if not objective or not _minimized(model, sum(objective)):
        return None
    values = model.getSolution().col_value
    return {cell: round(values[column.index]) for cell, column in columns.items()}


def _new_model(time_limit_s: Seconds) -> Any:
    import highspy

    model = highspy.Highs()  # type: ignore[no-untyped-call]
    for option, value in (
        ("output_flag", False),
        ("threads", 1),
        ("time_limit", time_limit_s),
        ("mip_rel_gap", RELATIVE_GAP),
        ("random_seed", 0),
    ):
        model.setOptionValue(option, value)
    return model


def _keep_to_supply(model: Any, problem: Problem, columns: dict[Cell, Any]) -> None:
    """Partitions together have no more machines of a kind than there are."""
    for kind, supply in problem.supply.items():
        mine = [column for cell, column in columns.items() if cell.kind == kind]
        if mine:
            model.addConstr(sum(mine) <= supply.machines)


def _moves(model: Any, problem: Problem, columns: dict[Cell, Any]) -> list[Any]:
    """The cost of machines that have to move."""
    costs = []
    for cell, column in columns.items():
        moved = model.addVariable(lb=0.0, obj=0.0)
        have = problem.have.get(cell, 0)
        model.addConstr(moved >= column - have)
        model.addConstr(moved >= have - column)
        costs.append(MOVE_COST * moved)
    return costs


def _minimized(model: Any, objective: Any) -> bool:
    """Minimize, and say whether that gave a solution."""
    import highspy

    model.minimize(objective)
    if model.getModelStatus() == highspy.HighsModelStatus.kOptimal:
        return True
    # Out of time: what was found until then may still be whole and within all bounds.
    found = model.getInfo().primal_solution_status
    return bool(found == highspy.SolutionStatus.kSolutionStatusFeasible)


def _shortfalls(model: Any, problem: Problem, columns: dict[Cell, Any]) -> list[Any]:
    """The cost of room that partitions want and do not get, for CPUs and accelerators."""
    costs: list[Any] = []
    for name, partition in problem.plan.partitions.items():
        mine = [(cell, column) for cell, column in columns.items() if cell.partition == name]
        demand = problem.demand.get(name, PartitionDemand())
        for field in ("cpus", "gpus"):
            total = getattr(demand.total, field)
            urgent = getattr(demand.urgent, field)
            scale = _largest(problem, mine, field)
            if total <= 0.0 or scale <= 0.0:
                continue
            room = sum(
                getattr(problem.supply[cell.kind].resources, field) / scale * column
                for cell, column in mine
            )
            missing = model.addVariable(lb=0.0)
            missing_pressing = model.addVariable(lb=0.0)
            model.addConstr(room + missing >= total / scale)
            model.addConstr(room + missing_pressing >= urgent / scale)
            costs += [
                partition.weight * missing,
                partition.weight * PRESSING_COST * missing_pressing,
            ]
    return costs


def _largest(problem: Problem, mine: list[tuple[Cell, Any]], field: str) -> float:
    """What the largest machine that a partition may have has of a resource."""
    return max(
        (float(getattr(problem.supply[c.kind].resources, field)) for c, _ in mine),
        default=0.0,
    )
