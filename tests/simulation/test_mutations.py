"""Mutations: the rules that the stand-ins check must detect each guard that is removed."""

from __future__ import annotations

import pytest

from standins import World
from support.faults import all_crash, cut_from_state, lost_answers, quick_restarts, quiet
from support.mutations import (
    Patch,
    any_machine_will_do,
    no_check_that_the_watch_cache_is_current,
    no_stop_of_cancelled_tasks,
    no_team_limit,
    no_wait_for_unheard_machines,
)
from support.scenarios import Fault, run_fault_scenario

CASES: list[tuple[Patch, Fault, str]] = [
    (no_wait_for_unheard_machines, quick_restarts, "ran_twice"),
    (no_team_limit, quiet, "quota"),
    (no_stop_of_cancelled_tasks, quiet, "ran_cancelled"),
    (no_check_that_the_watch_cache_is_current, cut_from_state, "forgotten"),
    (any_machine_will_do, quiet, "wrong_place"),
]


def first_violation(fault: Fault, rule: str) -> World | None:
    for seed in range(1, 9):
        slow = 8.0 if rule == "ran_cancelled" else 1.0
        world = run_fault_scenario(fault, seed, jobs=30, length=150.0, slow=slow)
        if any(b.startswith(rule) for b in world.violations):
            return world
    return None


@pytest.mark.parametrize(("patch", "fault", "rule"), CASES, ids=lambda c: getattr(c, "__name__", c))
def test_a_mutated_guard_is_detected(
    patch: Patch, fault: Fault, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    patch(monkeypatch)
    assert first_violation(fault, rule) is not None


@pytest.mark.parametrize("fault", [all_crash, lost_answers], ids=lambda f: f.__name__)
def test_with_all_guards_the_same_scenarios_break_no_rule(fault: Fault) -> None:
    assert run_fault_scenario(fault, 1, jobs=30, length=150.0).violations == []
