"""The client of the state service."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from dapplewick.protocol.state_service import (
    CHANGES_DECODER,
    KEY_ITEM_DECODER,
    KEY_PAGE_DECODER,
    LEASE_DECODER,
    TRANSACTION_RESULT_DECODER,
    Changes,
    encode_lease_request,
    encode_transaction,
)
from dapplewick.storage.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    RevisionCompactedError,
    TransactionConflictError,
    ValueTooLargeError,
)
from dapplewick.storage.rate_limiter import RateLimiter
from dapplewick.storage.transactions import C
from dapplewick.transport.http_client import HttpClient, HttpError, RequestNotSentError

log = logging.getLogger("dapplewick.state")


CALL_S = 1.5


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
        item = self._decoded(KEY_ITEM_DECODER, answer)
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
            page = self._decoded(KEY_PAGE_DECODER, answer)
            first = page.revision if first is None else first
            for item in page.items:
                items[item.key] = (item.value, item.version)
                since = item.key
            if not page.more:
                return items, first
            if not page.items:
                # Taken for the end, all keys that come after would count as removed.
                raise RequestRefusedError("a page without items that is not the last")

    async def changes(self, prefix: str, since: int, wait_ms: int) -> Changes:
        self._spend()
        target = f"/changes?starts={prefix}&since={since}&wait_ms={wait_ms}"
        status, answer = await self._call("GET", target, None, wait_ms / 1000 + CALL_S)
        if status == 410:
            raise RevisionCompactedError
        if status != 200:
            raise RequestRefusedError(str(status))
        found = self._decoded(CHANGES_DECODER, answer)
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
        body = encode_transaction(conditions, puts, deletes, leases or {})
        status, answer = await self._call("POST", "/multi", body)
        if status == 200:
            return self._decoded(TRANSACTION_RESULT_DECODER, answer).revision
        if status == 409:
            raise TransactionConflictError(self._decoded(TRANSACTION_RESULT_DECODER, answer).failed)
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
        status, answer = await self._call("POST", "/leases", encode_lease_request(ttl_ms))
        if status != 200:
            raise RequestRefusedError(str(status))
        return self._decoded(LEASE_DECODER, answer).lease

    async def renew(self, lease: int) -> None:
        # Renewals come before everything else: they may overdraw the budget.
        self.calls.take()
        status, _ = await self._call("POST", f"/leases/{lease}/renew", b"{}")
        if status == 404:
            raise LeaseExpiredError
        if status != 200:
            raise RequestRefusedError(str(status))
