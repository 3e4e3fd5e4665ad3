"""An event loop whose clock jumps, so that a scenario takes seconds and repeats exactly."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

import anyio


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits: its clock jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__(_JumpingSelector(self))
        self.at = 1000.0

    def time(self) -> float:
        return self.at


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("nothing will ever happen again")
        self._loop.at += max(0.0, timeout)
        return super().select(0)


def run_in_virtual_time(main: Any) -> None:
    """Run a coroutine function to its end in virtual time."""
    anyio.run(main, backend_options={"loop_factory": VirtualLoop})


class Clock:
    """Virtual time, read as the controllers read theirs."""

    def __call__(self) -> float:
        return asyncio.get_running_loop().time()


now = Clock()
