"""The client of the state service, within this node's budget."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby
from typing import Any, TypeVar

import anyio
import msgspec

from dapplewick.config import StateLimits
from dapplewick.protocol import wire
from dapplewick.transport.http_client import HttpClient, HttpError, RequestNotSentError

log = logging.getLogger("dapplewick.state")

CALL_S = 1.5
TRANSACTION_BYTES = (
    48 * 1024
)  # of values in a transaction, which may hold 64 KiB with all around them


class RequestRefusedError(Exception):
    """The request was not carried out."""


class OutcomeUnknownError(Exception):
    """The request may or may not have been carried out, or may still be."""


class TransactionConflictError(Exception):
    """A condition of the transaction does not hold."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(",".join(failed))
        self.failed = failed


class ValueTooLargeError(RequestRefusedError):
    """A value or the transaction is larger than the state service takes."""


class LeaseExpiredError(Exception):
    """The lease has ended."""


class RevisionCompactedError(Exception):
    """The changes asked for are no longer kept."""


class RateLimiter:
    """A bucket of requests, filled at `rate`, with a second's worth of burst, or a little."""

    def __init__(self, rate: float, least: float = 0.0) -> None:
        self.rate = rate
        self._least = least
        self._level = max(rate, least)
        self._at = -1e9

    def level(self) -> float:
        """What is left now."""
        most = max(self.rate, self._least)
        return min(most, self._level + (anyio.current_time() - self._at) * self.rate)

    def drain(self) -> None:
        """The service itself says that it is too much: nothing is left for now."""
        self._level = min(0.0, self.level())
        self._at = anyio.current_time()

    def overdraw(self, amount: float) -> None:
        """Take an amount whether it is there or not."""
        self._level = self.level() - amount
        self._at = anyio.current_time()

    def take(self, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Take an amount; `reserve` is left for calls that matter more."""
        self._level = self.level()
        self._at = anyio.current_time()
        if self._level < amount + reserve:
            return False
        self._level -= amount
        return True


C = TypeVar("C")


def split_into_transactions(
    changes: Iterable[C], sized: Callable[[C], int], limits: StateLimits
) -> Iterator[list[C]]:
    """Cut changes into transactions that the state service takes. One whose value is too large
    by itself is left out: with it every transaction that it came in would be refused. Changes
    in a row that name the same `transaction_group` go into one."""
    batch: list[C] = []
    total = 0
    listed = enumerate(changes)
    for _, run in groupby(listed, key=lambda c: getattr(c[1], "transaction_group", "") or c[0]):
        unit = [change for _, change in run]
        sizes = [sized(change) for change in unit]
        if max(sizes) > limits.value_kb * 1024 or len(unit) > limits.txn_ops:
            log.error("event=value_too_large bytes=%d change=%.120r", max(sizes), unit[0])
            continue
        more = len(batch) + len(unit) > limits.txn_ops or total + sum(sizes) > TRANSACTION_BYTES
        if batch and more:
            yield batch
            batch, total = [], 0
        batch += unit
        total += sum(sizes)
    if batch:
        yield batch


def first_whole_groups(changes: list[C], most: int) -> list[C]:
    """The first changes, at most so many, without part of those that go into one transaction:
    of a group that is split, one piece alone would lose the machines of the others."""
    if most >= len(changes):
        return changes
    transaction_group = getattr(changes[most], "transaction_group", "")
    while (
        transaction_group
        and most > 0
        and getattr(changes[most - 1], "transaction_group", "") == transaction_group
    ):
        most -= 1
    return changes[:most]


class StateClient:
    """Calls of the state service. Over the budget a call is refused here, not there."""

    def __init__(
        self, http: HttpClient, rps: float, write_rps: float, write_burst: float = 0.0
    ) -> None:
        self._http = http
        self.calls = RateLimiter(rps)
        self.writes = RateLimiter(write_rps, write_burst)

    async def _call(
        self, method: str, target: str, body: bytes | None, within: float = CALL_S
    ) -> tuple[int, bytes]:
        try:
            status, answer = await self._http.request(method, target, body, within)
        except RequestNotSentError as err:
            raise RequestRefusedError(str(err)) from None
        except HttpError as err:
            raise OutcomeUnknownError(str(err)) from None
        if status == 429:
            (self.writes if target == "/multi" else self.calls).drain()
        if status in (429, 503):
            raise RequestRefusedError(str(status))
        return status, answer

    @staticmethod
    def _decoded(decoder: msgspec.json.Decoder[C], answer: bytes) -> C:
        """What a 200 says. One that can't be parsed tells nothing: it is as if it were lost."""
        try:
            return decoder.decode(answer)
        except (msgspec.MsgspecError, UnicodeDecodeError) as err:
            log.error("event=state_response_malformed error=%s answer=%r", err, answer[:200])
            raise OutcomeUnknownError("malformed answer") from None

    def _spend(self, amount: float = 1.0, reserve: float = 0.0) -> None:
        if not self.calls.take(amount, reserve):
            raise RequestRefusedError("over the request budget")

    async def get(self, key: str) -> tuple[Any, int]:
        """The value and version of a key; version 0 if there is none."""
        self._spend()
        status, answer = await self._call("GET", f"/keys/{key}", None)
        if status == 404:
            return None, 0
        if status != 200:
            raise RequestRefusedError(str(status))
        item = self._decoded(wire.key_item, answer)
        return item.value, item.version

    async def listing(self, prefix: str) -> tuple[dict[str, tuple[Any, int]], int]:
        """All keys with a prefix, and a revision from which changes are to be followed."""
        items: dict[str, tuple[Any, int]] = {}
        since = ""
        first: int | None = None
        while True:
            self._spend()
            target = f"/keys?starts={prefix}&limit=500" + (f"&since={since}" if since else "")
            status, answer = await self._call("GET", target, None, 5.0)
            if status != 200:
                raise RequestRefusedError(str(status))
            page = self._decoded(wire.key_page, answer)
            first = page.revision if first is None else first
            for item in page.items:
                items[item.key] = (item.value, item.version)
                since = item.key
            if not page.more:
                return items, first
            if not page.items:
                # Taken for the end, all keys that come after would count as removed.
                raise RequestRefusedError("a page without items that is not the last")

    async def changes(self, prefix: str, since: int, wait_ms: int) -> wire.Changes:
        self._spend()
        target = f"/changes?starts={prefix}&since={since}&wait_ms={wait_ms}"
        status, answer = await self._call("GET", target, None, wait_ms / 1000 + CALL_S)
        if status == 410:
            raise RevisionCompactedError
        if status != 200:
            raise RequestRefusedError(str(status))
        found = self._decoded(wire.changes, answer)
        if found.revision < since:
            # Nothing is known to be current by an answer that is older than what was read.
            raise RequestRefusedError("the answer is older than the question")
        return found

    async def transaction(
        self,
        conditions: dict[str, int],
        puts: dict[str, Any],
        deletes: list[str] | None = None,
        leases: dict[str, int] | None = None,
        urgent: bool = False,
    ) -> int:
        """An atomic change; gives its revision. Raises Conflict, Refused or Unknown. An urgent
        one, on which leadership or presence hangs, may overdraw the budget."""
        deletes = deletes or []
        amount = len(puts) + len(deletes)
        if urgent:
            self.calls.overdraw(1.0)
            self.writes.overdraw(amount)
        else:
            self._spend()
            if amount and not self.writes.take(amount):
                raise RequestRefusedError("over the write budget")
        body = wire.encode_transaction(conditions, puts, deletes, leases or {})
        status, answer = await self._call("POST", "/multi", body)
        if status == 200:
            return self._decoded(wire.transaction_result, answer).revision
        if status == 409:
            raise TransactionConflictError(self._decoded(wire.transaction_result, answer).failed)
        if status == 400 and b"no such lease" in answer:
            raise LeaseExpiredError
        log.error(
            "event=state_request_rejected status=%d answer=%r keys=%s",
            status,
            answer[:200],
            ",".join([*puts, *deletes]),
        )
        if status == 400:
            raise ValueTooLargeError(str(status))
        raise RequestRefusedError(str(status))

    async def new_lease(self, ttl_ms: int) -> int:
        self._spend()
        status, answer = await self._call("POST", "/leases", wire.encode_lease_request(ttl_ms))
        if status != 200:
            raise RequestRefusedError(str(status))
        return self._decoded(wire.lease, answer).lease

    async def renew(self, lease: int) -> None:
        # Renewals come before everything else: they may overdraw the budget.
        self.calls.take()
        status, _ = await self._call("POST", f"/leases/{lease}/renew", b"{}")
        if status == 404:
            raise LeaseExpiredError
        if status != 200:
            raise RequestRefusedError(str(status))
