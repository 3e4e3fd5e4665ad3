"""Reads of the newest changes, each shared by all who wait for one.

Whoever must not answer from an old copy of the records waits for a read that begins after it
asked. A read for each of them would use up the budget of requests to the state service.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from dapplewick.storage.errors import OutcomeUnknownError, RequestRefusedError
from dapplewick.types import Seconds


class _Read:
    """One read of the changes that is yet to begin or is under way."""

    def __init__(self) -> None:
        self.finished = anyio.Event()
        self.requested_at: Seconds = 0.0
        self.error: RequestRefusedError | None = None


class ReadChecks:
    """Reads the changes when somebody waits for that, one read after the other, with pauses."""

    def __init__(
        self,
        read: Callable[[], Awaitable[None]],
        clock: Callable[[], Seconds],
        pause_s: Seconds,
    ) -> None:
        self._read = read
        self._clock = clock
        self._pause_s = pause_s
        self._pending: _Read | None = None
        self._wakeup = anyio.Event()

    async def current(self) -> Seconds:
        """Return once all changes up to this call were read.

        Returns:
            When they were asked for, by the clock given.

        Raises:
            RequestRefusedError: they can't be read.
        """
        read = self._pending
        if read is None:
            read = self._pending = _Read()
            self._wakeup.set()
        await read.finished.wait()
        if read.error is not None:
            raise read.error
        return read.requested_at

    async def run(self) -> None:
        """Serve those who wait, for ever."""
        while True:
            if self._pending is None:
                self._wakeup = anyio.Event()
                await self._wakeup.wait()
            read, self._pending = self._pending, None
            assert read is not None
            await self._carry_out(read)
            await anyio.sleep(self._pause_s)

    async def _carry_out(self, read: _Read) -> None:
        # Until the read is known to have succeeded it counts as failed: whatever ends it, an
        # answer that can't be parsed included, nobody is left waiting or takes it for a success.
        read.error = RequestRefusedError("the changes could not be read")
        read.requested_at = self._clock()
        try:
            await self._read()
            read.error = None
        except (RequestRefusedError, OutcomeUnknownError) as err:
            read.error = RequestRefusedError(str(err))
        finally:
            read.finished.set()
