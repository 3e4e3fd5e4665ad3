"""The targets in force: the number of machines of each type and zone for each partition.

A solution replaces the targets of a type and zone only if it differs by more than the plan's
margin, or if the targets no longer satisfy the rules and the supply. This hysteresis prevents
short-lived changes of demand from moving machines back and forth.
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
    """The supply of machines of each type in each zone."""
    counts: Counter[MachineKind] = Counter()
    for pool, count in index.counts():
        counts[MachineKind(zone_of(pool.shard), pool.type)] += count
    return {
        kind: Supply(cache.types[kind.type].resources, count)
        for kind, count in counts.items()
        if kind.type in cache.types
    }


def current_counts(index: MachineIndex) -> dict[Cell, int]:
    """The machines of each type and zone in each partition, without the zones' default shards."""
    return {
        Cell(partition_of(pool.shard), zone_of(pool.shard), pool.type): count
        for pool, count in index.counts()
        if partition_of(pool.shard)
    }


class TargetsInForce:
    """The targets that the plan's transfers work towards.

    Attributes:
        known: whether targets have been set; until then no transfers are requested for the plan.
    """

    def __init__(self) -> None:
        self._targets: Targets = {}
        self.known = False

    def __getitem__(self, cell: Cell) -> int:
        return self._targets.get(cell, 0)

    def items(self) -> Iterable[tuple[Cell, int]]:
        """All targets; a cell without an entry has a target of 0."""
        return self._targets.items()

    def adopt(self, problem: Problem, solution: Targets | None) -> bool:
        """Adopt a solution, separately for each type and zone.

        Without a solution the targets in force stay.

        Args:
            problem: the problem that was solved.
            solution: the solution; None if none was found in time.

        Returns:
            Whether any target changed.
        """
        if solution is None:
            log.info("event=plan_unsolved targets=%d", len(self._targets))
            return False
        if not self.known:
            # A new leader's initial targets are the machines that the partitions have.
            self._targets = dict(problem.current_counts)
            self.known = True
        limits = bounds(problem)
        changed = False
        for kind, kind_supply in problem.supply.items():
            old, new = _of_kind(self._targets, kind), _of_kind(solution, kind)
            if old == new:
                continue
            difference = sum(abs(new.get(c, 0) - old.get(c, 0)) for c in old.keys() | new.keys())
            margin = max(1.0, problem.plan.margin * kind_supply.machines)
            if difference <= margin and _satisfies(old, _of_kind(limits, kind), kind_supply):
                continue
            for cell in old:
                del self._targets[cell]
            self._targets.update(new)
            changed = True
        for cell in [c for c in self._targets if c.kind not in problem.supply]:
            del self._targets[cell]
        return changed


def _satisfies(targets: Targets, limits: dict[Cell, Bounds], kind_supply: Supply) -> bool:
    """Whether targets satisfy the present rules and supply.

    Since the targets were computed, the time of day may have changed which rules apply, and the
    number of machines may have changed.
    """
    if sum(targets.values()) > kind_supply.machines:
        return False
    no_machines = Bounds(0, 0)
    return all(
        limits.get(cell, no_machines).min_machines
        <= targets.get(cell, 0)
        <= limits.get(cell, no_machines).max_machines
        for cell in targets.keys() | limits.keys()
    )


def _of_kind(values: dict[Cell, V], kind: MachineKind) -> dict[Cell, V]:
    return {cell: value for cell, value in values.items() if cell.kind == kind}
