"""An event loop with a virtual clock: scenarios take seconds and repeat exactly."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

import anyio


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that never sleeps: its clock advances to the next timer."""

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
            raise RuntimeError("deadlock in virtual time: no timer and no ready task is left")
        self._loop.at += max(0.0, timeout)
        return super().select(0)


def run_in_virtual_time(main: Any) -> None:
    """Run a coroutine function to completion in virtual time."""
    anyio.run(main, backend_options={"loop_factory": VirtualLoop})


class Clock:
    """The virtual time in seconds, with the interface of the controllers' clock."""

    def __call__(self) -> float:
        return asyncio.get_running_loop().time()


now = Clock()
