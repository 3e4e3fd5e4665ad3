"""Starts a controller process."""

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
    """Log to standard error at the level in LOG_LEVEL.

    Returns:
        A message if the value of LOG_LEVEL is invalid; info is used then.
    """
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
    """Make the cyclic garbage collector run less often.

    Objects that exist at start live as long as the process, and a controller mostly keeps
    long-lived records without cycles, so collecting after every 700 new objects (the default) is
    wasted. `run.py` imports the modules with the collector disabled; it is enabled here.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    gc.enable()


def raise_file_limit(requested: int) -> None:
    """Raise the soft limit of open files to `requested`, as far as the hard limit allows."""
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
    """The process can't start with its inputs; the message gives the reason in one line."""


def _load_settings(path: str) -> Settings:
    """Read the settings.

    Raises:
        StartupError: the settings are invalid.
    """
    try:
        return load(path)
    except SettingsError as err:
        raise StartupError(f"settings: {err}") from None


def _load_tuning(path: str | None) -> Tuning:
    """Run the operators' script, if one is given.

    Raises:
        StartupError: the script is invalid.
    """
    if not path:
        return Tuning()
    # Imported on demand: most controllers run without a script.
    from dapplewick.script import ScriptError
    from dapplewick.script import load as load_script

    try:
        return load_script(path)
    except ScriptError as err:
        raise StartupError(f"script: {err}") from None


def _load_partitions(path: str | None, settings: Settings) -> PartitionService | None:
    """Create the partition service for the plan in a file, if one is given.

    Raises:
        StartupError: the plan is invalid, or names a team or zone that the deployment lacks.
    """
    if not path:
        return None
    # Imported on demand: controllers without partitions need neither it nor its solver.
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
    """Run a controller until it is killed.

    Invalid settings, an invalid script or an invalid plan end startup with a one-line message.

    Returns:
        The exit code: 2 for invalid settings, scripts and plans, 1 if an address is unavailable.
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
    """Start with the platform's command line: optional `--shares PLAN`, then `--config FILE`.

    The path of a script comes only from the environment (docs/DEPLOY-dapplewick.md).

    Returns:
        The exit code: 2 for invalid arguments or settings, 1 if an address is unavailable.
    """
    partition_plan_path = None
    if len(arguments) == 4 and arguments[0] == "--shares":
        partition_plan_path, arguments = arguments[1], arguments[2:]
    if len(arguments) != 2 or arguments[0] != "--config":
        print("usage: run.py [--shares PLAN] --config FILE", file=sys.stderr)
        return 2
    return run_controller(arguments[1], os.environ.get(SCRIPT_VARIABLE), partition_plan_path)
