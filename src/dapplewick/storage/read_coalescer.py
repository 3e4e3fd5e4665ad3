"""Reads of the newest changes, each shared by all callers that wait for it.

A caller that must not answer from a stale copy of the records waits for a read that begins after
its call. A separate read for each caller would exhaust the request budget of the state service.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from dapplewick.storage.errors import OutcomeUnknownError, RequestRefusedError
from dapplewick.types import Seconds


class _Read:
    """A read of the changes that is pending or in progress."""

    def __init__(self) -> None:
        self.finished = anyio.Event()
        self.requested_at: Seconds = 0.0
        self.error: RequestRefusedError | None = None


class ReadCoalescer:
    """Reads the changes while callers wait, one read at a time with a delay after each."""

    def __init__(
        self,
        read: Callable[[], Awaitable[None]],
        clock: Callable[[], Seconds],
        delay_s: Seconds,
    ) -> None:
        self._read = read
        self._clock = clock
        self._delay_s = delay_s
        self._pending: _Read | None = None
        self._wakeup = anyio.Event()

    async def current(self) -> Seconds:
        """Return once all changes up to this call have been read.

        Returns:
            When the changes were requested, by the clock of this object, in seconds.

        Raises:
            RequestRefusedError: the changes could not be read.
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
        """Serve waiting callers; never returns."""
        while True:
            if self._pending is None:
                self._wakeup = anyio.Event()
                await self._wakeup.wait()
            read, self._pending = self._pending, None
            assert read is not None
            await self._execute(read)
            await anyio.sleep(self._delay_s)

    async def _execute(self, read: _Read) -> None:
        # The read counts as failed until it has succeeded. Whatever ends it, including a malformed
        # response, the callers are released and don't treat it as successful.
        read.error = RequestRefusedError("the changes could not be read")
        read.requested_at = self._clock()
        try:
            await self._read()
            read.error = None
        except (RequestRefusedError, OutcomeUnknownError) as err:
            read.error = RequestRefusedError(str(err))
        finally:
            read.finished.set()
