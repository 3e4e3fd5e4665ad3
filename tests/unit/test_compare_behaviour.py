"""Tests of the tool that compares the recorded behaviour of two versions."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from standins import recorder
from tools.compare_behaviour import (
    HASH_SEEDS,
    ROOT,
    Difference,
    first_difference,
    format_difference,
    run_tool,
    summarize_trace,
)

EVENTS = [
    json.dumps({"at": float(n), "event": "frame", "message": {"number": n}}) + "\n"
    for n in range(20)
]


def write_trace(path: Path, events: list[str]) -> Path:
    path.write_text("".join(events))
    return path


def test_equal_traces_are_equal(tmp_path: Path) -> None:
    base, present = (
        write_trace(tmp_path / "base", EVENTS),
        write_trace(tmp_path / "present", EVENTS),
    )
    assert first_difference(base, present) is None
    assert summarize_trace(base) == summarize_trace(present)
    assert summarize_trace(base).events == len(EVENTS)


@pytest.mark.parametrize(
    ("changed", "line"),
    [
        ([*EVENTS[:7], EVENTS[7].replace("7}", "8}"), *EVENTS[8:]], 8),
        ([*EVENTS[:4], EVENTS[5], EVENTS[4], *EVENTS[6:]], 5),
        (EVENTS[:-1], len(EVENTS)),
        ([*EVENTS, EVENTS[0]], len(EVENTS) + 1),
        ([], 1),
    ],
    ids=["changed", "swapped", "one less", "one more", "none"],
)
def test_traces_that_differ_in_one_event_are_reported(
    tmp_path: Path, changed: list[str], line: int
) -> None:
    base, present = (
        write_trace(tmp_path / "base", EVENTS),
        write_trace(tmp_path / "present", changed),
    )
    difference = first_difference(base, present)
    assert difference is not None
    assert difference.line == line
    assert difference.before == EVENTS[max(0, line - 5) : line - 1]
    assert difference.base == (EVENTS[line - 1] if line <= len(EVENTS) else None)
    assert difference.present == (changed[line - 1] if line <= len(changed) else None)
    text = format_difference("quiet", difference)
    assert f"quiet: the traces differ at line {line}" in text
    assert ("(the trace has ended)" in text) is (None in (difference.base, difference.present))


def test_a_difference_far_into_a_long_event_is_shown() -> None:
    one, other = "x" * 9000 + "one\n", "x" * 9000 + "other\n"
    lines = format_difference("quiet", Difference(1, [], one, other)).splitlines()
    assert lines[-2].endswith("xone")
    assert lines[-1].endswith("xother")


def test_values_are_recorded_the_same_whatever_their_order() -> None:
    assert recorder.plain(b'{"b":1,"a":[2]}') == {"json": {"a": [2], "b": 1}}
    assert recorder.plain(b"\xff") == {"bytes": "ff"}
    assert recorder.plain({1: (2, b"3"), "1": {5, 4}}) == {
        "(1)": [2, {"json": 3}],
        "1": {"set": [4, 5]},
    }
    with pytest.raises(TypeError):
        recorder.plain(object())


def test_a_scenario_is_the_same_in_two_processes_with_different_hash_seeds(tmp_path: Path) -> None:
    traces = []
    for side in HASH_SEEDS:
        out = tmp_path / f"{side}.jsonl"
        run_tool(ROOT, side, tmp_path / "cache", "--play", "odd-requests", "--out", str(out))
        traces.append(summarize_trace(out))
    assert traces[0] == traces[1]
    assert traces[0].events > 100
    assert len(set(HASH_SEEDS.values())) == 2
