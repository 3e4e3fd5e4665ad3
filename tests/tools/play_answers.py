"""Runs random scenarios in which users poll short jobs during compound failures.

`PYTHONPATH=src:tests target/ci/bin/python tests/tools/play_answers.py FIRST LAST [JOBS]` runs the
seeds FIRST to LAST with JOBS jobs each (default 40), and prints the violated rules of each seed.
"""

from __future__ import annotations

import logging
import sys

from support.answer_scenarios import run_answer_scenario


def main(arguments: list[str]) -> None:
    first, last = int(arguments[0]), int(arguments[1])
    jobs = int(arguments[2]) if len(arguments) > 2 else 40
    logging.disable(logging.CRITICAL)
    violations = 0
    for seed in range(first, last + 1):
        world = run_answer_scenario(seed, jobs)
        violations += bool(world.violations)
        print(
            f"seed {seed}: {world.history.answers} answers, {len(world.accepted)} jobs,",
            f"{len(world.cloud.provisioning_requests)} bookings, {world.cloud.next_name} machines,",
            f"{len(world.violations)} broken: {world.violations[:3]}",
            flush=True,
        )
    print(f"{last - first + 1} scenarios played, rules broken in {violations}")


if __name__ == "__main__":
    main(sys.argv[1:])
