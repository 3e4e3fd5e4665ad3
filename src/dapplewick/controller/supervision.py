"""Restarts loops that fail."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import anyio

log = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5  # before a failed loop is restarted


async def run_supervised(name: str, loop: Callable[[], Awaitable[None]]) -> None:
    """Run a loop; if it raises an exception, log it and restart the loop after a delay."""
    while True:
        try:
            await loop()
        except Exception:
            log.exception("event=loop_crashed loop=%s", name)
            await anyio.sleep(RESTART_DELAY_S)
