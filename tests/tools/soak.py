"""Runs real controllers on loopback under random faults and checks their external behaviour.

    python tests/tools/soak.py --seeds 1:50 --workers 0 --jobs 40 --parallel 4

Each seed runs in a separate process. If a seed ends with violations, the tool keeps the folder with
the fault schedule, settings and logs, and prints its path and the command that repeats the run.
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

SEED_TIMEOUT_S = 600.0  # far longer than any run takes
CONTROLLERS = 3
MAX_PROCESSES = 200
TERMINATE_S = 20.0


class SeedRange(click.ParamType[range]):
    """A command-line range of seeds, from A to B inclusive."""

    name = "A:B"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> range:
        """Parse `A:B` or `A`."""
        first, _, last = value.partition(":")
        try:
            seeds = range(int(first), int(last or first) + 1)
        except ValueError:
            self.fail(f"{value!r} is neither A:B nor a single seed", param, ctx)
        if not seeds:
            self.fail(f"{value!r} is an empty range: A must not exceed B", param, ctx)
        return seeds


class SeedResult(NamedTuple):
    """The exit code and the output of a seed's process."""

    seed: int
    code: int
    output: str


class SeedRunner:
    """Runs each seed in a child process, and terminates remaining child processes when stopped."""

    def __init__(self, options: list[str]) -> None:
        self._options = options
        self._running: set[subprocess.Popen[str]] = set()
        self._lock = threading.Lock()
        self._stopped = False

    def run(self, seed: int) -> SeedResult:
        """Run one seed and wait for its process; after `stop`, start no process."""
        with self._lock:
            if self._stopped:
                return SeedResult(seed, 1, f"seed {seed}: not started")
            process = subprocess.Popen(
                [sys.executable, __file__, "--seeds", str(seed), "--here", *self._options],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            self._running.add(process)
        try:
            output, _ = process.communicate(timeout=SEED_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.terminate()
            output = (
                process.communicate()[0] + f"seed {seed}: timed out after {SEED_TIMEOUT_S:g} s\n"
            )
        with self._lock:
            self._running.discard(process)
        return SeedResult(seed, process.returncode, output)

    def stop(self) -> None:
        """Terminate the running processes and start no further ones."""
        with self._lock:
            self._stopped = True
            running = list(self._running)
        for process in running:
            process.terminate()
        for process in running:
            process.wait(TERMINATE_S)


def run_in_this_process(seed: int, options: SoakOptions, command: str) -> int:
    """Run one seed in this process, print its result and return the exit code."""
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


def run_all(seeds: range, parallel: int, options: list[str]) -> Iterator[SeedResult]:
    """Run `parallel` seeds at a time, and yield the results in the order of the seeds."""
    runner = SeedRunner(options)
    try:
        with ThreadPoolExecutor(parallel) as pool:
            try:
                yield from pool.map(runner.run, seeds)
            finally:
                runner.stop()
    finally:
        runner.stop()


def _raise_interrupt(*_: object) -> None:
    raise KeyboardInterrupt


@click.command()
@click.option("--seeds", type=SeedRange(), required=True, help="seeds A to B inclusive, as A:B")
@click.option(
    "--workers", type=click.IntRange(0, 1000), default=0, help="machines for a large array"
)
@click.option("--jobs", type=click.IntRange(1, 400), default=40, help="jobs that users submit")
@click.option(
    "--parallel", type=click.IntRange(1, 16), default=1, help="seeds run at the same time"
)
@click.option(
    "--without",
    type=click.Choice(sorted(SOAK_GUARDS)),
    help="disable a safety check of the controllers",
)
@click.option("--here", is_flag=True, hidden=True, help="run in this process")
def main(
    seeds: range, workers: int, jobs: int, parallel: int, without: str | None, here: bool
) -> None:
    """Run seeds, and exit with 1 if any of them ended with violations."""
    signal.signal(signal.SIGTERM, _raise_interrupt)
    if parallel * (CONTROLLERS + 1) > MAX_PROCESSES:
        raise click.UsageError(f"--parallel needs more than {MAX_PROCESSES} processes")
    options = ["--workers", str(workers), "--jobs", str(jobs)]
    program: tuple[str, ...] = ()
    if without is not None:
        options += ["--without", without]
        program = (sys.executable, str(TESTS / "tools" / "controller_without_guard.py"), without)
    if here:
        repeat_command = f"python tests/tools/soak.py --seeds {seeds[0]} {' '.join(options)}"
        sys.exit(run_in_this_process(seeds[0], SoakOptions(workers, jobs, program), repeat_command))
    failed_seeds = []
    for finished in run_all(seeds, parallel, options):
        print(finished.output.rstrip(), flush=True)
        if finished.code:
            failed_seeds.append(finished.seed)
    print(f"{len(seeds)} seeds played, {len(failed_seeds)} broken: {failed_seeds}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    # Errors in options are printed as one line, without the usage text.
    try:
        main(standalone_mode=False)
    except click.ClickException as err:
        print(f"soak: {err.format_message()}", file=sys.stderr)
        sys.exit(2)
