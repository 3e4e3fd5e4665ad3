"""Start of one controller."""

from __future__ import annotations

import gc
import logging
import os
import resource
import sys
from typing import TYPE_CHECKING

import anyio

from dapplewick.config import Settings, SettingsError, load
from dapplewick.controller.controller import Controller
from dapplewick.tuning import Tuning

if TYPE_CHECKING:
    from dapplewick.partitions.service import PartitionService

log = logging.getLogger(__name__)

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
SCRIPT_VARIABLE = "DAPPLEWICK_SCRIPT"


def configure_logging() -> str | None:
    """Log to standard error at LOG_LEVEL; gives what is wrong with it, if anything is."""
    name = os.environ.get("LOG_LEVEL", "") or "info"
    level = LOG_LEVELS.get(name.lower())
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO if level is None else level,
        format="%(levelname)s %(name)s %(message)s",
    )
    if level is None:
        return f"LOG_LEVEL: {name!r} is not one of error, info, debug; info is used"
    return None


def configure_memory() -> None:
    """Let the collector of cycles search less often.

    What is loaded by now stays, and what a controller keeps are long-lived records without cycles:
    they need not be searched after every 700 new objects. `run.py` loads them with the collector
    switched off.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    gc.enable()


def raise_file_limit(requested: int) -> None:
    """Where a process may by default open fewer files than its settings allow, ask for those."""
    try:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if hard != resource.RLIM_INFINITY:
            requested = min(requested, hard)
        if soft != resource.RLIM_INFINITY and soft < requested:
            resource.setrlimit(resource.RLIMIT_NOFILE, (requested, hard))
    except (OSError, ValueError) as err:
        log.info("event=file_limit_unchanged reason=%r", err)


async def _run(settings: Settings, tuning: Tuning, partitions: PartitionService | None) -> None:
    await Controller(settings, tuning=tuning, partitions=partitions).run()


class StartupError(Exception):
    """The process can't start with what it was given; the text says why in one line."""


def _load_settings(path: str) -> Settings:
    """Read the settings; a StartRefusedError says what is wrong with them."""
    try:
        return load(path)
    except SettingsError as err:
        raise StartupError(f"settings: {err}") from None


def _load_tuning(path: str | None) -> Tuning:
    """Run the operators' script, if there is one; a StartRefusedError says what is wrong."""
    if not path:
        return Tuning()
    # Loaded only here: most controllers run without a script.
    from dapplewick.script import ScriptError
    from dapplewick.script import load as load_script

    try:
        return load_script(path)
    except ScriptError as err:
        raise StartupError(f"script: {err}") from None


def _load_partitions(path: str | None, settings: Settings) -> PartitionService | None:
    """Make the service that keeps the partitions of zones by the plan in a file, if there is one.

    Raises:
        StartRefusedError: the plan is bad, or names what the deployment does not have.
    """
    if not path:
        return None
    # Loaded only here: controllers without partitions do without it and its solver.
    from dapplewick.partitions.plan import PlanError, find_unknown_name
    from dapplewick.partitions.plan import load as load_plan
    from dapplewick.partitions.service import PartitionService

    deployment = settings.deployment
    try:
        plan = load_plan(path)
    except PlanError as err:
        raise StartupError(f"shares: {err}") from None
    teams = (team.name for team in deployment.teams)
    problem = find_unknown_name(plan, teams, deployment.zones, None)
    if problem:
        raise StartupError(f"shares: {path}: {problem}")
    return PartitionService(plan)


def run_controller(config: str, script: str | None, partition_plan_path: str | None = None) -> int:
    """Run until killed; bad settings, a bad script or a bad plan end the start with one line.

    Returns:
        The exit code: 2 for bad settings, scripts and plans, 1 where it can't listen.
    """
    try:
        settings = _load_settings(config)
        tuning = _load_tuning(script)
        partitions = _load_partitions(partition_plan_path, settings)
    except StartupError as err:
        print(f"dapplewick: {err}", file=sys.stderr)
        return 2
    configure_memory()
    problem = configure_logging()
    if problem:
        log.error("event=log_level_invalid error=%r", problem)
    raise_file_limit(settings.deployment.machine_limits.fd_limit)
    try:
        anyio.run(_run, settings, tuning, partitions, backend_options={"use_uvloop": True})
    except OSError as err:
        print(f"dapplewick: can't listen: {err}", file=sys.stderr)
        return 1
    return 0


def start(arguments: list[str]) -> int:
    """Start as the platform does: `--config FILE` last, before it perhaps `--shares PLAN`.

    A script comes only from the environment (docs/DEPLOY-dapplewick.md).

    Returns:
        The exit code: 2 for bad arguments or settings, 1 where it can't listen.
    """
    partition_plan_path = None
    if len(arguments) == 4 and arguments[0] == "--shares":
        partition_plan_path, arguments = arguments[1], arguments[2:]
    if len(arguments) != 2 or arguments[0] != "--config":
        print("usage: run.py [--shares PLAN] --config FILE", file=sys.stderr)
        return 2
    return run_controller(arguments[1], os.environ.get(SCRIPT_VARIABLE), partition_plan_path)
