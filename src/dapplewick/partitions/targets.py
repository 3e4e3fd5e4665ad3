"""Targets in force: how many machines of each kind each partition is to have.

A solution replaces the targets in force only where it differs by more than the plan's margin, so
that work that comes and goes does not make machines go to and fro.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from typing import TypeVar

from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.solver import Bounds, Cell, MachineKind, Problem, Supply, Targets, bounds
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import partition_of, zone_of

log = logging.getLogger(__name__)

V = TypeVar("V")


def supply(cache: WatchCache, index: MachineIndex) -> dict[MachineKind, Supply]:
    """The machines that there are of each type in each zone."""
    counts: Counter[MachineKind] = Counter()
    for kind, count in index.kinds():
        counts[MachineKind(zone_of(kind.shard), kind.type)] += count
    return {
        kind: Supply(cache.types[kind.type].resources, count)
        for kind, count in counts.items()
        if kind.type in cache.types
    }


def holdings(index: MachineIndex) -> dict[Cell, int]:
    """How many machines of each kind each partition has; zones' own shards are left out."""
    return {
        Cell(partition_of(kind.shard), zone_of(kind.shard), kind.type): count
        for kind, count in index.kinds()
        if partition_of(kind.shard)
    }


class TargetsInForce:
    """The targets that transfers work towards.

    Attributes:
        known: whether there are any: nothing moves for the plan before.
    """

    def __init__(self) -> None:
        self._targets: Targets = {}
        self.known = False

    def __getitem__(self, cell: Cell) -> int:
        return self._targets.get(cell, 0)

    def items(self) -> Iterable[tuple[Cell, int]]:
        """All targets; what is not listed has a target of 0."""
        return self._targets.items()

    def adopt(self, problem: Problem, solution: Targets | None) -> bool:
        """Take over a solution, for each kind of machine by itself.

        Without a solution the targets in force stay.

        Args:
            problem: what the solution is of.
            solution: None if none was found in time.

        Returns:
            Whether any target changed.
        """
        if solution is None:
            log.info("event=plan_unsolved targets=%d", len(self._targets))
            return False
        if not self.known:
            # A new leader goes on from what the partitions have.
            self._targets = dict(problem.have)
            self.known = True
        limits = bounds(problem)
        changed = False
        for kind, kind_supply in problem.supply.items():
            old, new = _of_kind(self._targets, kind), _of_kind(solution, kind)
            if old == new:
                continue
            difference = sum(abs(new.get(c, 0) - old.get(c, 0)) for c in old.keys() | new.keys())
            margin = max(1.0, problem.plan.margin * kind_supply.machines)
            if difference <= margin and _keeps(old, _of_kind(limits, kind), kind_supply):
                continue
            for cell in old:
                del self._targets[cell]
            self._targets.update(new)
            changed = True
        for cell in [c for c in self._targets if c.kind not in problem.supply]:
            del self._targets[cell]
        return changed


def _keeps(targets: Targets, limits: dict[Cell, Bounds], kind_supply: Supply) -> bool:
    """Whether targets keep what the rules say now.

    Rules may hold at other times of day, and there may be other machines than when the targets
    were found.
    """
    if sum(targets.values()) > kind_supply.machines:
        return False
    nothing = Bounds(0, 0)
    return all(
        limits.get(cell, nothing).min_machines
        <= targets.get(cell, 0)
        <= limits.get(cell, nothing).max_machines
        for cell in targets.keys() | limits.keys()
    )


def _of_kind(values: dict[Cell, V], kind: MachineKind) -> dict[Cell, V]:
    return {cell: value for cell, value in values.items() if cell.kind == kind}
