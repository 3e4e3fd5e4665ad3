"""Soak runs: real controllers on loopback under drawn faults, checked from outside.

    python tests/tools/soak.py --seeds 1:50 --workers 0 --jobs 40 --parallel 4

Each seed is played by a process of its own. Of a seed that broke something the folder with its
schedule, settings and logs is kept and named, with the command that plays it again.
"""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import click

TESTS = Path(__file__).parents[1]
sys.path[:0] = [str(TESTS.parent / "src"), str(TESTS)]

from support.mutations import SOAK_GUARDS  # noqa: E402
from support.soak import SoakOptions, run_seed  # noqa: E402
from support.soak_schedule import draw_schedule  # noqa: E402

SEED_LIMIT_S = 600.0  # no run takes nearly so long
CONTROLLERS = 3
MOST_PROCESSES = 200
TERMINATE_S = 20.0


class SeedRange(click.ParamType[range]):
    """Seeds from A up to and with B."""

    name = "A:B"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> range:
        """Read `A:B` or `A`."""
        first, _, last = value.partition(":")
        try:
            seeds = range(int(first), int(last or first) + 1)
        except ValueError:
            self.fail(f"{value!r} is not A:B", param, ctx)
        if not seeds:
            self.fail(f"{value!r} names no seed", param, ctx)
        return seeds


class Played(NamedTuple):
    """The outcome of a seed's process."""

    seed: int
    code: int
    output: str


class Player:
    """Plays seeds, each in a process of its own, and ends these processes by their ids."""

    def __init__(self, options: list[str]) -> None:
        self._options = options
        self._running: set[subprocess.Popen[str]] = set()
        self._lock = threading.Lock()
        self._ended = False

    def play(self, seed: int) -> Played:
        """Play one seed."""
        with self._lock:
            if self._ended:
                return Played(seed, 1, f"seed {seed}: not played")
            process = subprocess.Popen(
                [sys.executable, __file__, "--seeds", str(seed), "--here", *self._options],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            self._running.add(process)
        try:
            output, _ = process.communicate(timeout=SEED_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.terminate()
            output = process.communicate()[0] + f"seed {seed}: not over after {SEED_LIMIT_S:g} s\n"
        with self._lock:
            self._running.discard(process)
        return Played(seed, process.returncode, output)

    def end(self) -> None:
        """End what runs, and play nothing more."""
        with self._lock:
            self._ended = True
            running = list(self._running)
        for process in running:
            process.terminate()
        for process in running:
            process.wait(TERMINATE_S)


def play_here(seed: int, options: SoakOptions, command: str) -> int:
    """Play one seed in this process; gives the exit code."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    schedule = [fault.line() for fault in draw_schedule(seed)]
    (folder / "schedule.txt").write_text("\n".join(schedule) + "\n")
    result = run_seed(folder, seed, options)
    print(result.line())
    if not result.violations:
        shutil.rmtree(folder)
        return 0
    print(*schedule, sep="\n")
    print(*result.violations[:40], sep="\n")
    print(f"logs: {folder}\nagain: {command}", flush=True)
    (folder / "violations.txt").write_text("\n".join(result.violations) + "\n")
    return 1


def play_all(seeds: range, parallel: int, options: list[str]) -> Iterator[Played]:
    """Play seeds, several at a time, and give each outcome as it comes."""
    player = Player(options)
    try:
        with ThreadPoolExecutor(parallel) as pool:
            try:
                yield from pool.map(player.play, seeds)
            finally:
                player.end()
    finally:
        player.end()


def _raise_interrupt(*_: object) -> None:
    raise KeyboardInterrupt


@click.command()
@click.option("--seeds", type=SeedRange(), required=True, help="seeds A:B, both played")
@click.option(
    "--workers", type=click.IntRange(0, 1000), default=0, help="machines of a large array"
)
@click.option("--jobs", type=click.IntRange(1, 400), default=40, help="jobs that users submit")
@click.option("--parallel", type=click.IntRange(1, 16), default=1, help="runs beside one another")
@click.option("--without", type=click.Choice(sorted(SOAK_GUARDS)), help="take a guard out")
@click.option("--here", is_flag=True, hidden=True, help="play in this process")
def main(
    seeds: range, workers: int, jobs: int, parallel: int, without: str | None, here: bool
) -> None:
    """Play seeds, and exit with 1 if one of them broke something."""
    signal.signal(signal.SIGTERM, _raise_interrupt)
    if parallel * (CONTROLLERS + 1) > MOST_PROCESSES:
        raise click.UsageError(f"more than {MOST_PROCESSES} processes")
    options = ["--workers", str(workers), "--jobs", str(jobs)]
    program: tuple[str, ...] = ()
    if without is not None:
        options += ["--without", without]
        program = (sys.executable, str(TESTS / "tools" / "controller_without_guard.py"), without)
    if here:
        again = f"python tests/tools/soak.py --seeds {seeds[0]} {' '.join(options)}"
        sys.exit(play_here(seeds[0], SoakOptions(workers, jobs, program), again))
    broken = []
    for played in play_all(seeds, parallel, options):
        print(played.output.rstrip(), flush=True)
        if played.code:
            broken.append(played.seed)
    print(f"{len(seeds)} seeds played, {len(broken)} broken: {broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    # Bad options are refused in one line, without the usage text.
    try:
        main(standalone_mode=False)
    except click.ClickException as err:
        print(f"soak: {err.format_message()}", file=sys.stderr)
        sys.exit(2)
