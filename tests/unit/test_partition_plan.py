"""Partition plans: validation, solutions of the solver, and changes of the targets."""

from __future__ import annotations

import shlex
import tomllib
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from dapplewick.cli.main import main
from dapplewick.config import Team
from dapplewick.controller.startup import start
from dapplewick.core.estimates import Estimates
from dapplewick.partitions.demand import PartitionDemand, partition_demands
from dapplewick.partitions.plan import PartitionPlan, PlanError, convert, find_unknown_name, parse
from dapplewick.partitions.solver import Cell, MachineKind, Problem, Supply, bounds, solve
from dapplewick.partitions.targets import TargetsInForce
from dapplewick.partitions.timing import TransferDurations
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.job_records import JobRecord
from dapplewick.types import NO_RESOURCES, Resources
from loopback.test_operators import settings_file
from support.paths import ROOT

MACHINE = Resources(8.0, 0.0, 32.0)


def rule(**fields: Any) -> dict[str, Any]:
    return {"types": ["m"], **fields}


def plan_of(**shares: list[dict[str, Any]]) -> PartitionPlan:
    return convert({"shares": {n: {"teams": [f"team-{n}"], "rules": r} for n, r in shares.items()}})


def problem(
    plan: PartitionPlan,
    machines: int,
    demand: dict[str, float] | None = None,
    existing: dict[str, int] | None = None,
    minute: int = 0,
) -> Problem:
    demands = {
        name: PartitionDemand(NO_RESOURCES, Resources(cpus, 0.0, 0.0))
        for name, cpus in (demand or {}).items()
    }
    cells = {Cell(name, "a", "m"): count for name, count in (existing or {}).items()}
    return Problem(plan, minute, {MachineKind("a", "m"): Supply(MACHINE, machines)}, demands, cells)


@pytest.mark.parametrize(
    ("text", "complaint"),
    [
        ("shares = ", "p.star:1"),
        ("shapes = {}", "p.star:1: unknown setting 'shapes'; the nearest known is 'shares'"),
        ("shares = []", "shares: Expected `object`, got `array`"),
        ("shares = {'x': {'rules': []}}", "missing required field `teams`"),
        ("shares = {'x': {'teams': ['t'], 'rules': [], 'wait': 1}}", "unknown field `wait`"),
        ("shares = {'x': {'teams': ['t'], 'rules': []}}", "shares['x'].rules: from 1"),
        ("shares = {'X!': {'teams': ['t'], 'rules': [{'types': ['m']}]}}", "shares['X!']: a name"),
        ("shares = {'x': {'teams': [], 'rules': [{'types': ['m']}]}}", "shares['x'].teams"),
        ("shares = {'x': {'teams': ['t'], 'rules': [{'types': []}]}}", "rules[0].types"),
        (
            "shares = {'x': {'teams': ['t'], "
            "'rules': [{'types': ['m'], 'least': 0.6, 'most': 0.5}]}}",
            "shares['x'].rules[0].least",
        ),
        (
            "shares = {'x': {'teams': ['t'], 'rules': [{'types': ['m'], 'hours': ('3', '4')}]}}",
            "rules[0].hours: '3' is no time of day",
        ),
        (
            "_x = {'teams': ['t'], 'rules': [{'types': ['m'], 'least': 0.6}]}\n"
            "shares = {'x': _x, 'y': _x}",
            "shares['y'].rules: least: 1.2 of all m is promised in each zone at 00:00",
        ),
        (
            "shares = {'x': {'teams': ['t'], 'rules': [{'types': ['m'], 'least': 0.5}]},"
            " 'y': {'teams': ['t'], 'rules': [{'types': ['m'], 'least': 0.8, 'zones': ['a'],"
            " 'hours': ('22:00', '04:30')}]}}",
            "1.3 of all m is promised in a at 00:00",
        ),
        ("margin = 2", "margin: must be from 0 to 1"),
        ("move_within_s = 1", "move_within_s: must be from 10"),
        ("hold_orders_s = -1", "hold_orders_s: must be from 0"),
    ],
)
def test_a_bad_plan_is_refused_in_one_line_that_names_the_field(text: str, complaint: str) -> None:
    with pytest.raises(PlanError) as caught:
        parse("p.star", text)
    assert complaint in str(caught.value)
    assert "\n" not in str(caught.value)


def test_names_that_the_deployment_does_not_have_are_found() -> None:
    plan = parse(
        "p.star",
        "shares = {'x': {'teams': ['red'], 'rules': [{'types': ['m'], 'zones': ['a']}]}}",
    )
    assert find_unknown_name(plan, ["red"], ["a"], ["m"]) == ""
    assert find_unknown_name(plan, ["red"], ["a"], None) == ""
    assert "unknown team 'red'" in find_unknown_name(plan, ["blue"], ["a"], ["m"])
    assert "rules[0].zones: unknown zone 'a'" in find_unknown_name(plan, ["red"], ["b"], ["m"])
    assert "rules[0].types: unknown type 'm'" in find_unknown_name(plan, ["red"], ["a"], ["n"])


def test_a_start_with_a_bad_plan_ends_with_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config = str(settings_file(tmp_path))
    plan = tmp_path / "plan.star"
    plan.write_text("shares = {'x': {'teams': ['nobody'], 'rules': [{'types': ['m']}]}}")
    assert start(["--shares", str(plan), "--config", config]) == 2
    error = capsys.readouterr().err.strip()
    assert "unknown team 'nobody'" in error
    assert "\n" not in error
    assert start(["--shares", str(tmp_path / "none.star"), "--config", config]) == 2
    assert start(["--shares", str(plan)]) == 2


def test_the_command_refuses_a_bad_plan_without_a_controller(tmp_path: Path) -> None:
    plan = tmp_path / "plan.star"
    plan.write_text("margin = 'wide'")
    result = CliRunner().invoke(main, ["shares", "plan", "--at", "127.0.0.1:1", str(plan)])
    assert result.exit_code == 2
    assert "margin: Expected `float`" in result.output
    plan.write_text("margin = 0.2")
    good = ["shares", "plan", "--check", "--at", "127.0.0.1:1", str(plan)]
    assert CliRunner().invoke(main, good).exit_code == 0
    unreachable = CliRunner().invoke(main, ["shares", "show", "--at", "127.0.0.1:1"])
    assert unreachable.exit_code == 1
    assert len(unreachable.output.strip().splitlines()) == 1


def test_the_example_plan_is_good() -> None:
    text = (ROOT / "deploy" / "shares.star").read_text()
    assert parse("shares.star", text).margin == 0.1


def test_minimum_shares_are_met_and_demand_gets_the_remaining_machines() -> None:
    plan = plan_of(night=[rule(least=0.25, most=0.75)], day=[rule(most=0.5)])
    assert solve(problem(plan, 8)) == {Cell("night", "a", "m"): 2, Cell("day", "a", "m"): 0}
    solution = solve(problem(plan, 8, {"night": 100.0, "day": 100.0}))
    assert solution is not None
    assert 2 <= solution[Cell("night", "a", "m")] <= 6
    assert solution[Cell("day", "a", "m")] <= 4
    assert sum(solution.values()) == 8


def test_rules_hold_by_time_of_day_also_over_midnight() -> None:
    plan = plan_of(night=[rule(least=0.5, most=0.5, hours=("22:00", "04:30")), rule(most=0.0)])
    cell = Cell("night", "a", "m")
    for minute, count in ((22 * 60 - 1, 0), (22 * 60, 4), (0, 4), (4 * 60 + 29, 4), (270, 0)):
        assert bounds(problem(plan, 8, minute=minute)).get(cell, (0, 0))[0] == count


def test_pressing_work_and_partitions_of_higher_weight_have_precedence() -> None:
    plan = plan_of(x=[rule()], y=[rule()])
    current = problem(plan, 4)._replace(
        demand={
            "x": PartitionDemand(Resources(24.0, 0.0, 0.0), NO_RESOURCES),
            "y": PartitionDemand(NO_RESOURCES, Resources(800.0, 0.0, 0.0)),
        }
    )
    solution = solve(current)
    assert solution is not None
    assert solution[Cell("x", "a", "m")] == 3
    heavy = convert(
        {
            "shares": {
                "x": {"teams": ["t"], "rules": [rule()], "weight": 5.0},
                "y": {"teams": ["u"], "rules": [rule()]},
            }
        }
    )
    solution = solve(problem(heavy, 4, {"x": 32.0, "y": 32.0}))
    assert solution is not None
    assert solution[Cell("x", "a", "m")] == 4


def test_targets_remain_without_a_solution_within_the_time_limit() -> None:
    plan = plan_of(night=[rule(least=0.5)])
    targets = TargetsInForce()
    assert not targets.adopt(problem(plan, 8), None)
    assert not targets.known
    current = problem(plan, 8)
    assert targets.adopt(current, solve(current))
    assert targets[Cell("night", "a", "m")] == 4
    assert not targets.adopt(current, None)
    assert targets[Cell("night", "a", "m")] == 4
    large_plan = plan_of(**{f"s{i}": [rule(most=0.5)] for i in range(12)})
    large_problem = problem(large_plan, 1000, {f"s{i}": 300.0 + 7.0 * i for i in range(12)})
    assert solve(large_problem, time_limit_s=0.0) is None


def test_a_plan_changes_only_by_more_than_its_margin() -> None:
    plan = plan_of(night=[rule(most=0.9)])
    targets = TargetsInForce()
    cell = Cell("night", "a", "m")
    first = problem(plan, 40, {"night": 160.0})
    targets.adopt(first, solve(first))
    assert targets[cell] == 20
    for cpus, expected in ((176.0, 20), (144.0, 20), (200.0, 25), (176.0, 25)):
        current = problem(plan, 40, {"night": cpus}, {"night": targets[cell]})
        targets.adopt(current, solve(current))
        assert targets[cell] == expected, cpus
    # A change of the rules' bounds with the time of day applies at once, even within the margin.
    fixed = plan_of(night=[rule(least=0.6, most=0.6)])
    current = problem(fixed, 40, {"night": 176.0}, {"night": 25})
    targets.adopt(current, solve(current))
    assert targets[cell] == 24
    # So does a decrease of the number of machines.
    current = problem(plan, 10, {"night": 176.0}, {"night": 8})
    targets.adopt(current, solve(current))
    assert targets[cell] <= 9


def test_a_new_leader_adopts_the_existing_machine_counts_as_targets() -> None:
    plan = plan_of(night=[rule(most=0.9)])
    targets = TargetsInForce()
    current = problem(plan, 40, {"night": 160.0}, {"night": 22})
    targets.adopt(current, solve(current))
    assert targets.known
    assert targets[Cell("night", "a", "m")] == 22


@settings(max_examples=40, deadline=None)
@given(
    machines=st.integers(0, 30),
    shares=st.lists(
        st.tuples(st.floats(0.0, 0.3), st.floats(0.3, 1.0), st.floats(0.0, 400.0)),
        min_size=1,
        max_size=3,
    ),
)
def test_solutions_are_whole_and_within_all_bounds(
    machines: int, shares: list[tuple[float, float, float]]
) -> None:
    plan = plan_of(**{f"s{n}": [rule(least=lo, most=hi)] for n, (lo, hi, _) in enumerate(shares)})
    asked = problem(plan, machines, {f"s{n}": cpus for n, (_, _, cpus) in enumerate(shares)})
    solution = solve(asked, time_limit_s=5.0)
    assert solution is not None
    limits = bounds(asked)
    assert solution.keys() == limits.keys()
    assert sum(solution.values()) <= machines
    for cell, count in solution.items():
        assert limits[cell].min_machines <= count <= limits[cell].max_machines


def job(team: str, tasks: int, cpus: float, deadline_s: float | None = None) -> JobRecord:
    spec = JobSpec(
        job_class="x",
        team=team,
        is_gang=False,
        priority=1,
        task_count=tasks,
        cpus=cpus,
        gpus=0.0,
        ram_gb=1.0,
        image="i",
        image_gb=1.0,
        types=None,
        zone=None,
        same_zone=False,
        spread=False,
        spot=False,
        estimated_run_s=10.0,
        checkpoint_interval_s=0.0,
        save_s=0.0,
        deadline_s=deadline_s,
    )
    return JobRecord(spec, 1000.0)


def test_demand_is_the_unfinished_work_within_the_teams_limits() -> None:
    plan = convert({"shares": {"s": {"teams": ["red", "blue"], "rules": [rule()]}}})
    teams = [Team("red", cpus_max=20.0), Team("blue", cpus=8.0)]
    jobs = [job("red", 30, 2.0), job("blue", 2, 4.0), job("blue", 3, 4.0, deadline_s=15.0)]
    jobs[0].done = {0, 1}
    finished = job("blue", 1, 4.0)
    finished.stage = "done"
    demands = partition_demands(
        plan, teams, [*jobs, finished, job("green", 5, 1.0)], Estimates(), 1000.0
    )
    assert demands["s"].total.cpus == 20.0 + 8.0 + 12.0
    assert demands["s"].urgent.cpus == 8.0 + 12.0  # within the team's guarantee; due soon


def test_times_are_kept_in_histograms() -> None:
    times = TransferDurations()
    assert times.summaries()["machines"].count == 0
    for seconds in (1.0, 2.0, 30.0):
        times.record_machine(seconds)
    times.record_transfer(30.0)
    histograms = times.summaries()
    assert histograms["machines"].count == 3
    assert 29.0 <= histograms["machines"].max_s <= 31.0
    assert histograms["transfers"].count == 1


def test_the_deploy_file_starts_a_controller_with_the_example_plan(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The start gets as far as the check of team names, which fails here as expected.

    The settings of the test do not contain the team of the example plan.
    """
    deploy = tomllib.loads((ROOT / "deploy" / "shares.toml").read_text())
    command = shlex.split(deploy["run"])
    monkeypatch.chdir(ROOT)
    assert command[:3] == ["python3", "-S", "target/app/run.py"]
    assert "requirements-shares.txt" in deploy["build"]
    assert start([*command[3:], str(settings_file(tmp_path))]) == 2
    assert "unknown team 'accounts'" in capsys.readouterr().err
    service = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    assert "shares" not in service["run"] + service["build"]
