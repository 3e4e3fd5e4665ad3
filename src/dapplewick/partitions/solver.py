"""Assigns whole machines to partitions with the HiGHS solver.

The model is a small mixed-integer program with an integer variable for each partition, zone and
type that a rule covers. It is solved on one thread within a time limit; if no solution is found in
time, the targets in force stay.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from dapplewick.partitions.demand import PartitionDemand
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.types import Resources, Seconds

TIME_LIMIT_S = 0.5
URGENT_SHORTFALL_COST = 100.0  # of an urgent shortfall of one machine; others cost 1
MOVE_COST = 0.05  # of each machine that the solution moves
RELATIVE_MIP_GAP = 0.01  # accepted relative gap between a solution and the best bound


class Cell(NamedTuple):
    """The machines of one type in one zone that belong to one partition."""

    partition: str
    zone: str
    type: str

    @property
    def kind(self) -> MachineKind:
        """The zone and the type of the machines."""
        return MachineKind(self.zone, self.type)


class MachineKind(NamedTuple):
    """The machines of one type in one zone, in all partitions."""

    zone: str
    type: str


class Supply(NamedTuple):
    """The supply of one machine type in a zone: resources of each machine, and their number."""

    resources: Resources
    machines: int


class Problem(NamedTuple):
    """The input of the solver."""

    plan: PartitionPlan
    minute: int  # of the day, in UTC
    supply: Mapping[MachineKind, Supply]
    demand: dict[str, PartitionDemand]
    current_counts: dict[Cell, int]  # present machines of each partition


Targets = dict[Cell, int]


class Bounds(NamedTuple):
    """The minimum and maximum number of machines of a partition."""

    min_machines: int
    max_machines: int


def bounds(problem: Problem) -> dict[Cell, Bounds]:
    """The bounds on each partition's machines of each type and zone.

    Both bounds are rounded down to whole machines, so that the minimums of all partitions together
    never exceed the supply.
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
    """Find targets that minimize the weighted shortfalls of demand and the moves of machines.

    Args:
        problem: the plan, the demand and the machines.
        time_limit_s: the solver's time limit, in seconds.

    Returns:
        The targets; None if no solution was found in time. Partitions, zones and types that no rule
        covers have no entry, which means a target of 0.
    """
    limits = bounds(problem)
    if not limits:
        return {}
    # Imported here because it loads numpy, and only a leader with partitions needs it.
    import highspy

    model = _new_model(time_limit_s)
    integer = highspy.HighsVarType.kInteger
    columns = {
        cell: model.addVariable(lb=b.min_machines, ub=b.max_machines, type=integer)
        for cell, b in limits.items()
    }
    _limit_to_supply(model, problem, columns)
    objective = _move_costs(model, problem, columns) + _shortfall_costs(model, problem, columns)
    if not objective or not _minimize(model, sum(objective)):
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
        ("mip_rel_gap", RELATIVE_MIP_GAP),
        ("random_seed", 0),
    ):
        model.setOptionValue(option, value)
    return model


def _limit_to_supply(model: Any, problem: Problem, columns: dict[Cell, Any]) -> None:
    """Constrain the machines of all partitions to the supply of each type and zone."""
    for kind, supply in problem.supply.items():
        columns_in_scope = [column for cell, column in columns.items() if cell.kind == kind]
        if columns_in_scope:
            model.addConstr(sum(columns_in_scope) <= supply.machines)


def _move_costs(model: Any, problem: Problem, columns: dict[Cell, Any]) -> list[Any]:
    """The costs of moving machines."""
    costs = []
    for cell, column in columns.items():
        moved = model.addVariable(lb=0.0, obj=0.0)
        current_count = problem.current_counts.get(cell, 0)
        model.addConstr(moved >= column - current_count)
        model.addConstr(moved >= current_count - column)
        costs.append(MOVE_COST * moved)
    return costs


def _minimize(model: Any, objective: Any) -> bool:
    """Minimize the objective, and return whether a feasible solution was found."""
    import highspy

    model.minimize(objective)
    if model.getModelStatus() == highspy.HighsModelStatus.kOptimal:
        return True
    # After a timeout, the best solution found may still be feasible.
    status = model.getInfo().primal_solution_status
    return bool(status == highspy.SolutionStatus.kSolutionStatusFeasible)


def _shortfall_costs(model: Any, problem: Problem, columns: dict[Cell, Any]) -> list[Any]:
    """The costs of the partitions' unmet demand for CPUs and accelerators."""
    costs: list[Any] = []
    for name, partition in problem.plan.partitions.items():
        columns_in_scope = [
            (cell, column) for cell, column in columns.items() if cell.partition == name
        ]
        demand = problem.demand.get(name, PartitionDemand())
        for field in ("cpus", "gpus"):
            total = getattr(demand.total, field)
            urgent = getattr(demand.urgent, field)
            # Shortfalls are measured in machines, relative to the largest possible machine.
            scale = _largest_amount(problem, columns_in_scope, field)
            if total <= 0.0 or scale <= 0.0:
                continue
            capacity = sum(
                getattr(problem.supply[cell.kind].resources, field) / scale * column
                for cell, column in columns_in_scope
            )
            shortfall = model.addVariable(lb=0.0)
            urgent_shortfall = model.addVariable(lb=0.0)
            model.addConstr(capacity + shortfall >= total / scale)
            model.addConstr(capacity + urgent_shortfall >= urgent / scale)
            costs += [
                partition.weight * shortfall,
                partition.weight * URGENT_SHORTFALL_COST * urgent_shortfall,
            ]
    return costs


def _largest_amount(
    problem: Problem, columns_in_scope: list[tuple[Cell, Any]], field: str
) -> float:
    """The largest amount of a resource in any machine type that the columns represent."""
    return max(
        (float(getattr(problem.supply[c.kind].resources, field)) for c, _ in columns_in_scope),
        default=0.0,
    )
