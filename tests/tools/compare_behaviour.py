"""Compares the behaviour of two versions of the sources, event by event, in simulated scenarios.

`python tests/tools/compare_behaviour.py BASE [--days NAME ...] [--jobs N]` runs the scenarios of
`tests/tools/behaviour_scenarios.py` (`--days` selects some by name) on the revision BASE and on the
working tree. It compares every message that controllers send to services, workers, users, operators
and other controllers. Each version runs with its own tests and stand-ins, each scenario runs in a
separate process, and the two versions run with different hash seeds, so that a dependence on set
order shows up. The exit status is 0 if all traces are equal and 1 at the first difference or error.
"""

from __future__ import annotations

import argparse
import hashlib
import logging
import os
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from itertools import zip_longest
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
# Paths of this tool in a checkout: the current one, and the one in older revisions.
TOOL_PATHS = ("tests/tools/compare_behaviour.py", "tests/compare_behaviour.py")
HASH_SEEDS = {"base": "1", "present": "2"}
CONTEXT_EVENTS = 4  # equal events printed before a difference
MAX_EVENT_CHARS = 2000  # longer events are truncated in the output


class Difference(NamedTuple):
    """The first line at which two traces differ.

    Attributes:
        line: Number of the line, from 1.
        before: The equal events directly before it.
        base: The event in the base version's trace, or None if that trace has ended.
        present: The event in the working tree's trace, or None if that trace has ended.
    """

    line: int
    before: list[str]
    base: str | None
    present: str | None


class TraceSummary(NamedTuple):
    """The number of events in a trace and the SHA-256 of the trace."""

    events: int
    digest: str


class ComparisonError(Exception):
    """A version or a scenario cannot be run or compared."""


def first_difference(base: Path, present: Path) -> Difference | None:
    """Compare two traces line by line, and return None if they are equal."""
    before: deque[str] = deque(maxlen=CONTEXT_EVENTS)
    with base.open() as base_file, present.open() as present_file:
        for number, (base_event, present_event) in enumerate(
            zip_longest(base_file, present_file), start=1
        ):
            if base_event != present_event:
                return Difference(number, list(before), base_event, present_event)
            before.append(base_event)
    return None


def summarize_trace(path: Path) -> TraceSummary:
    """Count the events of a trace and compute its digest."""
    data = path.read_bytes()
    return TraceSummary(data.count(b"\n"), hashlib.sha256(data).hexdigest())


def format_difference(scenario: str, difference: Difference) -> str:
    """Format a difference: both events, and the text around the first differing character."""
    base_event, present_event = difference.base, difference.present
    pairs = enumerate(zip(base_event or "", present_event or "", strict=False))
    difference_at = next((n for n, (a, b) in pairs if a != b), 0)
    lines = [f"{scenario}: the traces differ at line {difference.line}"]
    lines += [f"  before   {_truncate(line)}" for line in difference.before]
    for name, event in (("base", base_event), ("present", present_event)):
        lines.append(f"  {name:8} {'(the trace has ended)' if event is None else _truncate(event)}")
    if base_event is not None and present_event is not None:
        excerpt_start = max(0, difference_at - 60)
        lines += [
            f"  from character {excerpt_start} on:",
            f"  base     {base_event[excerpt_start : excerpt_start + 240].rstrip()}",
            f"  present  {present_event[excerpt_start : excerpt_start + 240].rstrip()}",
        ]
    return "\n".join(lines)


def _truncate(event: str) -> str:
    text = event.rstrip()
    return (
        text
        if len(text) <= MAX_EVENT_CHARS
        else f"{text[:MAX_EVENT_CHARS]}... ({len(text)} characters)"
    )


# Running one scenario in the current process


def run_scenario(scenario: str, out: Path) -> None:
    """Run a scenario and write its trace."""
    import dapplewick
    from standins import recorder
    from tools.behaviour_scenarios import SCENARIOS

    if Path(dapplewick.__file__).resolve().parent != ROOT / "src" / "dapplewick":
        raise SystemExit(f"{dapplewick.__file__} belongs to another checkout; check PYTHONPATH")
    logging.disable(logging.CRITICAL)
    # Names of controller incarnations consist of the time and a random number. A constant time
    # makes them equal in both versions.
    time.time_ns = lambda: 10**18
    with out.open("w") as file:
        recorder.start(file)
        try:
            SCENARIOS[scenario]()
        except* AssertionError:
            # A failed check of the scenario is compared like any other event. The test that owns
            # the scenario reports the failure.
            recorder.record("check_failed")
        finally:
            recorder.stop()


# Running and comparing both versions


def environment(root: Path, side: str, cache: Path) -> dict[str, str]:
    """Return the environment variables for running a version.

    Each version has a bytecode cache of its own. Python detects a changed source by its size and
    its modification time in seconds, so a shared cache could serve stale bytecode.
    """
    return os.environ | {
        "PYTHONPATH": f"{root / 'src'}{os.pathsep}{root / 'tests'}",
        "PYTHONHASHSEED": HASH_SEEDS[side],
        "PYTHONPYCACHEPREFIX": str(cache / side),
    }


def find_tool(root: Path) -> Path | None:
    """Return the path of a checkout's copy of this tool, or None if the checkout has none."""
    return next((root / place for place in TOOL_PATHS if (root / place).exists()), None)


def run_tool(root: Path, side: str, cache: Path, *arguments: str) -> str:
    """Run a version's copy of this tool and return its standard output."""
    tool = find_tool(root)
    if tool is None:
        raise ComparisonError(f"{side}: found neither {' nor '.join(TOOL_PATHS)}")
    process = subprocess.run(
        [sys.executable, str(tool), *arguments],
        cwd=root,
        env=environment(root, side, cache),
        capture_output=True,
        text=True,
    )
    if process.returncode:
        raise ComparisonError(
            f"{side}: {' '.join(arguments)} exited with {process.returncode}\n{process.stderr}"
        )
    return process.stdout


def clone_revision(revision: str, target: Path) -> None:
    """Check out a revision in a new clone at `target`.

    A clone has the whole history, from which upgrade scenarios load the production version.
    """
    steps = [
        ["clone", "-q", "--shared", "--no-checkout", str(ROOT), str(target)],
        ["-C", str(target), "checkout", "-q", "--detach", revision],
    ]
    for step in steps:
        process = subprocess.run(["git", *step], capture_output=True, text=True)
        if process.returncode:
            raise ComparisonError(f"git {' '.join(step)}: {process.stderr.strip()}")
    if find_tool(target) is None:
        raise ComparisonError(
            f"{revision} contains no compare_behaviour.py, so it cannot be compared"
        )


def resolve(revision: str) -> str:
    """Return the full hash of the commit that a revision names."""
    process = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "--verify", "-q", f"{revision}^{{commit}}"],
        capture_output=True,
        text=True,
    )
    if process.returncode:
        raise ComparisonError(f"{revision} does not name a commit")
    return process.stdout.strip()


def compare(revision: str, selected: Sequence[str], jobs: int) -> int:
    """Run scenarios on a revision and on the working tree, and return the exit status."""
    started_at = time.monotonic()
    commit = resolve(revision)
    with tempfile.TemporaryDirectory(prefix="behaviour-") as name:
        folder = Path(name)
        clone_revision(commit, folder / "base")
        roots = {"base": folder / "base", "present": ROOT}
        available = {
            side: run_tool(root, side, folder / "cache", "--list").split()
            for side, root in roots.items()
        }
        scenario_names = list(selected) or available["present"]
        for side, names in available.items():
            if missing := set(scenario_names) - set(names):
                raise ComparisonError(f"{side} has no scenario {', '.join(sorted(missing))}")
        if not selected and (removed := set(available["base"]) - set(scenario_names)):
            raise ComparisonError(f"present has no scenario {', '.join(sorted(removed))}")

        def trace(side: str, scenario: str) -> Path:
            out = folder / f"{side}-{scenario}.jsonl"
            run_tool(roots[side], side, folder / "cache", "--play", scenario, "--out", str(out))
            return out

        events = 0
        with ThreadPoolExecutor(jobs) as pool:
            traces = {
                scenario: [pool.submit(trace, side, scenario) for side in roots]
                for scenario in scenario_names
            }
            try:
                for scenario, (base, present) in traces.items():
                    difference = first_difference(base.result(), present.result())
                    if difference is not None:
                        print(format_difference(scenario, difference))
                        return 1
                    measured = summarize_trace(base.result())
                    if not measured.events:
                        raise ComparisonError(f"{scenario}: the trace contains no events")
                    events += measured.events
                    failed = '"event":"check_failed"' in base.result().read_text()
                    print(
                        f"{scenario:24} {measured.events:8} events  {measured.digest}",
                        *(["a check of the scenario failed in both versions"] if failed else []),
                        flush=True,
                    )
                    for trace_future in (base, present):
                        trace_future.result().unlink()
            finally:
                pool.shutdown(cancel_futures=True)
    elapsed_s = time.monotonic() - started_at
    print(f"equal to {commit[:12]}: {len(scenario_names)} days, {events} events, {elapsed_s:.0f} s")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("base", nargs="?", help="revision to compare with")
    parser.add_argument("--days", nargs="+", default=[], help="run only these scenarios")
    parser.add_argument(
        "--jobs", type=int, default=os.cpu_count() or 1, help="number of parallel processes"
    )
    parser.add_argument("--list", action="store_true", help="list the scenarios and exit")
    parser.add_argument("--play", help="run one scenario of this version")
    parser.add_argument("--out", type=Path, help="output file for the trace of --play")
    options = parser.parse_args(arguments)
    if options.list or options.play:
        for folder in ("tests", "src"):
            sys.path.insert(0, str(ROOT / folder))
    if options.list:
        from tools.behaviour_scenarios import SCENARIOS

        print("\n".join(SCENARIOS))
        return 0
    if options.play:
        if options.out is None:
            parser.error("--play needs --out")
        run_scenario(options.play, options.out)
        return 0
    if options.base is None:
        parser.error("BASE is missing: a revision to compare with")
    try:
        return compare(options.base, options.days, max(1, options.jobs))
    except ComparisonError as err:
        print(err, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
