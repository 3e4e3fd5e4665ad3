"""Compares the behaviour of two versions of the sources, event by event, in simulated scenarios.

`python tests/tools/compare_behaviour.py BASE [--days NAME ...] [--jobs N]` plays the scenarios
(called days on the command line) of `tests/tools/behaviour_scenarios.py` on the revision BASE and
on the present working tree, and compares all that controllers send to services, workers, users,
operators and one another. Each version is played with its own tests and stand-ins, each scenario in
a process of its own, and the two sides with different hash seeds. It exits with 0 where all are
equal and with 1 at the first difference.
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
# Where this tool is in a checkout: now, and in revisions that had it beside the tests.
PLACES = ("tests/tools/compare_behaviour.py", "tests/compare_behaviour.py")
HASH_SEEDS = {"base": "1", "present": "2"}
BEFORE = 4  # events that are shown before a difference
SHOWN = 2000  # characters of an event that are shown


class Difference(NamedTuple):
    """The first line at which two traces differ; None stands for a trace that has ended."""

    line: int
    before: list[str]
    base: str | None
    present: str | None


class TraceSummary(NamedTuple):
    """The length of a trace and its SHA-256."""

    events: int
    digest: str


class ComparisonError(Exception):
    """A scenario or a version that cannot be played."""


def first_difference(base: Path, present: Path) -> Difference | None:
    """Compare two traces line by line."""
    before: deque[str] = deque(maxlen=BEFORE)
    with base.open() as left, present.open() as right:
        for number, (one, other) in enumerate(zip_longest(left, right), start=1):
            if one != other:
                return Difference(number, list(before), one, other)
            before.append(one)
    return None


def summarize_trace(path: Path) -> TraceSummary:
    """Count a trace's events and give its digest."""
    data = path.read_bytes()
    return TraceSummary(data.count(b"\n"), hashlib.sha256(data).hexdigest())


def format_difference(day: str, found: Difference) -> str:
    """A difference as text: both events, from where they differ on if they are long."""
    one, other = found.base, found.present
    pairs = enumerate(zip(one or "", other or "", strict=False))
    shared = next((n for n, (a, b) in pairs if a != b), 0)
    lines = [f"{day}: the traces differ at line {found.line}"]
    lines += [f"  before   {_cut(line)}" for line in found.before]
    for name, event in (("base", one), ("present", other)):
        lines.append(f"  {name:8} {'(the trace has ended)' if event is None else _cut(event)}")
    if one is not None and other is not None:
        begin = max(0, shared - 60)
        lines += [
            f"  from character {begin} on:",
            f"  base     {one[begin : begin + 240].rstrip()}",
            f"  present  {other[begin : begin + 240].rstrip()}",
        ]
    return "\n".join(lines)


def _cut(event: str) -> str:
    text = event.rstrip()
    return text if len(text) <= SHOWN else f"{text[:SHOWN]}... ({len(text)} characters)"


# One scenario, in a process of its own


def play(day: str, out: Path) -> None:
    """Play a scenario and write its trace."""
    import dapplewick
    from standins import recorder
    from tools.behaviour_scenarios import SCENARIOS

    if Path(dapplewick.__file__).resolve().parent != ROOT / "src" / "dapplewick":
        raise SystemExit(f"{dapplewick.__file__} is not of the version that is to be played")
    logging.disable(logging.CRITICAL)
    # Incarnations of controllers are named by the time and a random number.
    time.time_ns = lambda: 10**18
    with out.open("w") as file:
        recorder.start(file)
        try:
            SCENARIOS[day]()
        except* AssertionError:
            # A check of the scenario itself: an event like others, the tests tell what it means.
            recorder.record("check_failed")
        finally:
            recorder.stop()


# Both versions


def environment(root: Path, side: str, cache: Path) -> dict[str, str]:
    """The variables under which a version is played. Compiled modules are kept apart: an edit
    within a second that keeps a file's length would go unnoticed beside an earlier one."""
    return os.environ | {
        "PYTHONPATH": f"{root / 'src'}{os.pathsep}{root / 'tests'}",
        "PYTHONHASHSEED": HASH_SEEDS[side],
        "PYTHONPYCACHEPREFIX": str(cache / side),
    }


def tool_of(root: Path) -> Path | None:
    """A checkout's own copy of this tool; None where it has none."""
    return next((root / place for place in PLACES if (root / place).exists()), None)


def run_tool(root: Path, side: str, cache: Path, *arguments: str) -> str:
    """Run a version's own copy of this tool."""
    tool = tool_of(root)
    if tool is None:
        raise ComparisonError(f"{side}: there is no {' and no '.join(PLACES)}")
    done = subprocess.run(
        [sys.executable, str(tool), *arguments],
        cwd=root,
        env=environment(root, side, cache),
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise ComparisonError(
            f"{side}: {' '.join(arguments)} ended with {done.returncode}\n{done.stderr}"
        )
    return done.stdout


def check_out(revision: str, target: Path) -> None:
    """Check a revision out in a folder of its own. It is a clone, which shares the history:
    scenarios with the version in production read that from there."""
    steps = [
        ["clone", "-q", "--shared", "--no-checkout", str(ROOT), str(target)],
        ["-C", str(target), "checkout", "-q", "--detach", revision],
    ]
    for step in steps:
        done = subprocess.run(["git", *step], capture_output=True, text=True)
        if done.returncode:
            raise ComparisonError(f"git {' '.join(step)}: {done.stderr.strip()}")
    if tool_of(target) is None:
        raise ComparisonError(f"{revision} has no compare_behaviour.py and cannot be played")


def resolve(revision: str) -> str:
    """The full name of a commit."""
    done = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "--verify", "-q", f"{revision}^{{commit}}"],
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise ComparisonError(f"{revision} is no commit")
    return done.stdout.strip()


def compare(revision: str, chosen: Sequence[str], jobs: int) -> int:
    """Play scenarios on a revision and on the working tree; gives the exit status."""
    begun = time.monotonic()
    commit = resolve(revision)
    with tempfile.TemporaryDirectory(prefix="behaviour-") as name:
        folder = Path(name)
        check_out(commit, folder / "base")
        roots = {"base": folder / "base", "present": ROOT}
        listed = {
            side: run_tool(root, side, folder / "cache", "--list").split()
            for side, root in roots.items()
        }
        days = list(chosen) or listed["present"]
        for side, names in listed.items():
            if lacking := set(days) - set(names):
                raise ComparisonError(f"{side} has no day {', '.join(sorted(lacking))}")
        if not chosen and (gone := set(listed["base"]) - set(days)):
            raise ComparisonError(f"present has no day {', '.join(sorted(gone))}")

        def trace(side: str, day: str) -> Path:
            out = folder / f"{side}-{day}.jsonl"
            run_tool(roots[side], side, folder / "cache", "--play", day, "--out", str(out))
            return out

        events = 0
        with ThreadPoolExecutor(jobs) as pool:
            plays = {day: [pool.submit(trace, side, day) for side in roots] for day in days}
            try:
                for day, (base, present) in plays.items():
                    found = first_difference(base.result(), present.result())
                    if found is not None:
                        print(format_difference(day, found))
                        return 1
                    measured = summarize_trace(base.result())
                    if not measured.events:
                        raise ComparisonError(f"{day}: nothing was recorded")
                    events += measured.events
                    failed = '"event":"check_failed"' in base.result().read_text()
                    print(
                        f"{day:24} {measured.events:8} events  {measured.digest}",
                        *(["a check of the day failed on both sides"] if failed else []),
                        flush=True,
                    )
                    for done in (base, present):
                        done.result().unlink()
            finally:
                pool.shutdown(cancel_futures=True)
    took = time.monotonic() - begun
    print(f"equal to {commit[:12]}: {len(days)} days, {events} events, {took:.0f} s")
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command; gives its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("base", nargs="?", help="revision to compare with")
    parser.add_argument("--days", nargs="+", default=[], help="only these days")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="processes at once")
    parser.add_argument("--list", action="store_true", help="list the days")
    parser.add_argument("--play", help="play one day of this version")
    parser.add_argument("--out", type=Path, help="file for the trace of that day")
    given = parser.parse_args(arguments)
    if given.list or given.play:
        for folder in ("tests", "src"):
            sys.path.insert(0, str(ROOT / folder))
    if given.list:
        from tools.behaviour_scenarios import SCENARIOS

        print("\n".join(SCENARIOS))
        return 0
    if given.play:
        if given.out is None:
            parser.error("--play needs --out")
        play(given.play, given.out)
        return 0
    if given.base is None:
        parser.error("name a revision to compare with")
    try:
        return compare(given.base, given.days, max(1, given.jobs))
    except ComparisonError as err:
        print(err, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
