"""Start of one controller."""

from __future__ import annotations

import logging
import os
import sys

import anyio

from dapplewick.config import Settings, SettingsError, load
from dapplewick.node import Node

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def configure_logging() -> str | None:
    """Log to standard error at LOG_LEVEL; gives what is wrong with it, if anything is."""
    name = os.environ.get("LOG_LEVEL", "") or "info"
    level = LEVELS.get(name.lower())
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO if level is None else level,
        format="%(levelname)s %(name)s %(message)s",
    )
    if level is None:
        return f"LOG_LEVEL: {name!r} is not one of error, info, debug; info is used"
    return None


def serve(settings: Settings) -> int:
    anyio.run(_run, settings)
    return 0


async def _run(settings: Settings) -> None:
    await Node(settings).run()


def start(arguments: list[str]) -> int:
    """Run with `--config FILE`; a bad settings file ends the start with one line."""
    if len(arguments) != 2 or arguments[0] != "--config":
        print("usage: run.py --config FILE", file=sys.stderr)
        return 2
    try:
        settings = load(arguments[1])
    except SettingsError as err:
        print(f"dapplewick: settings: {err}", file=sys.stderr)
        return 2
    complaint = configure_logging()
    if complaint:
        logging.getLogger("dapplewick").error("event=bad_log_level error=%s", complaint)
    return serve(settings)
