"""Soak runs with a few fixed seeds; `tests/tools/soak.py` runs any number of seeds."""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from support.soak import SoakOptions, run_seed
from support.soak_schedule import FaultKind, draw_schedule, end_of

SEEDS = [3, 6, 7]  # in 3 and 7, peers refuse connections from one another until the end of the run


@pytest.mark.parametrize("seed", SEEDS)
def test_under_drawn_faults_rules_hold_and_all_is_served(seed: int, tmp_path: Path) -> None:
    result = run_seed(tmp_path, seed, SoakOptions(jobs=25))
    schedule = "\n".join(fault.line() for fault in draw_schedule(seed))
    assert result.violations == [], f"{schedule}\nlogs: {tmp_path}"
    assert result.jobs == 26
    assert result.max_machines > 0


def test_a_seed_always_draws_the_same_faults_and_all_kinds_are_drawn() -> None:
    assert draw_schedule(7) == draw_schedule(7)
    assert draw_schedule(7) != draw_schedule(8)
    schedules = [draw_schedule(seed) for seed in range(1, 51)]
    assert {fault.kind for schedule in schedules for fault in schedule} == set(FaultKind)
    for schedule in schedules:
        assert 6 <= len(schedule) <= 9
        assert math.isfinite(end_of(schedule))
