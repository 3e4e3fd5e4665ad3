"""Loops that are started again when they break."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import anyio

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5  # before a loop that broke is started again


async def run_supervised(name: str, loop: Callable[[], Awaitable[None]]) -> None:
    """Run a loop; one that breaks is logged and started again, and ends nothing else."""
    while True:
        try:
            await loop()
        except Exception:
            log.exception("event=loop_crashed loop=%s", name)
            await anyio.sleep(RESTART_DELAY_S)
