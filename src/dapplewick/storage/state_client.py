"""Client of the state service."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar

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
    StateServiceError,
    TransactionConflictError,
    ValueTooLargeError,
)
from dapplewick.storage.rate_limiter import RateLimiter
from dapplewick.transport.http_client import HttpClient, HttpError, RequestNotSentError

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5
LISTING_TIMEOUT_S = 5.0  # per page
PAGE_ITEMS = 500  # maximum page size of the service

KEYS_TARGET = "/keys"
CHANGES_TARGET = "/changes"
TRANSACTION_TARGET = "/multi"
LEASES_TARGET = "/leases"
NO_SUCH_LEASE = b"no such lease"  # in the body of a response with status 400

Decoded = TypeVar("Decoded")
Failure = TypeVar("Failure", bound=StateServiceError)


class KeyValue(NamedTuple):
    """The value of a key and the revision that wrote it; version 0 if the key does not exist."""

    value: Any
    version: int


class Listing(NamedTuple):
    """All keys with a prefix, and the revision after which to read their changes."""

    items: dict[str, KeyValue]
    revision: int


class StateClient:
    """Calls the state service. A call that exceeds a budget is refused by the client itself.

    Every call raises RequestRefusedError if it was not carried out, and OutcomeUnknownError if the
    response is missing or malformed.

    Attributes:
        request_budget: the budget of requests.
        write_budget: the budget of keys that are written or removed.
    """

    def __init__(
        self, http: HttpClient, rps: float, write_rps: float, write_burst: float = 0.0
    ) -> None:
        self._http = http
        self.request_budget = RateLimiter(rps)
        self.write_budget = RateLimiter(write_rps, write_burst)

    async def _call(
        self, method: str, target: str, body: bytes | None, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[int, bytes]:
        try:
            status, response_body = await self._http.request(method, target, body, timeout_s)
        except RequestNotSentError as err:
            raise _with_note(
                RequestRefusedError(str(err)), f"{method} {target}: not sent"
            ) from None
        except HttpError as err:
            raise _with_note(OutcomeUnknownError(str(err)), f"{method} {target}: lost") from None
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            (self.write_budget if target == TRANSACTION_TARGET else self.request_budget).exhaust()
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            raise _refused(method, target, status)
        return status, response_body

    @staticmethod
    def _decoded(decoder: msgspec.json.Decoder[Decoded], response_body: bytes) -> Decoded:
        """Decode the body of a response with status 200. A malformed body counts as no response."""
        try:
            return decoder.decode(response_body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as err:
            log.error("event=state_response_malformed error=%s answer=%r", err, response_body[:200])
            raise OutcomeUnknownError("malformed answer") from None

    def _acquire_call(self) -> None:
        if not self.request_budget.try_acquire():
            raise RequestRefusedError("over the request budget")

    async def get(self, key: str) -> KeyValue:
        """Read the value and version of a key; version 0 if the key does not exist."""
        self._acquire_call()
        target = f"{KEYS_TARGET}/{key}"
        status, response_body = await self._call("GET", target, None)
        if status == HTTPStatus.NOT_FOUND:
            return KeyValue(None, 0)
        if status != HTTPStatus.OK:
            raise _refused("GET", target, status)
        item = self._decoded(KEY_ITEM_DECODER, response_body)
        return KeyValue(item.value, item.version)

    async def listing(self, prefix: str) -> Listing:
        """List all keys with a prefix, and the revision after which to read their changes."""
        items: dict[str, KeyValue] = {}
        since = ""
        first_revision: int | None = None
        while True:
            self._acquire_call()
            target = f"{KEYS_TARGET}?starts={prefix}&limit={PAGE_ITEMS}"
            if since:
                target += f"&since={since}"
            status, response_body = await self._call("GET", target, None, LISTING_TIMEOUT_S)
            if status != HTTPStatus.OK:
                raise _refused("GET", target, status)
            page = self._decoded(KEY_PAGE_DECODER, response_body)
            first_revision = page.revision if first_revision is None else first_revision
            for item in page.items:
                items[item.key] = KeyValue(item.value, item.version)
                since = item.key
            if not page.more:
                return Listing(items, first_revision)
            if not page.items:
                # If this page counted as the last, all later keys would count as removed.
                error = RequestRefusedError("a page without items that is not the last")
                raise _with_note(error, f"GET {target}")

    async def changes(self, prefix: str, since: int, wait_ms: int) -> Changes:
        """Read the changes of keys with a prefix after a revision, waiting for the first one.

        Args:
            prefix: the prefix of the keys.
            since: the revision after which to read.
            wait_ms: how long the service waits for a change, in milliseconds.

        Raises:
            RevisionCompactedError: the service no longer keeps these changes.
            RequestRefusedError: as for every call, or the response's revision is older than
                `since`.
        """
        self._acquire_call()
        target = f"{CHANGES_TARGET}?starts={prefix}&since={since}&wait_ms={wait_ms}"
        status, response_body = await self._call(
            "GET", target, None, wait_ms / 1000 + CALL_TIMEOUT_S
        )
        if status == HTTPStatus.GONE:
            raise _with_note(RevisionCompactedError(), f"GET {target}")
        if status != HTTPStatus.OK:
            raise _refused("GET", target, status)
        changes = self._decoded(CHANGES_DECODER, response_body)
        if changes.revision < since:
            # A response that is older than `since` does not prove that the copy is current.
            error = RequestRefusedError("the answer is older than the question")
            raise _with_note(error, f"GET {target}: answered with revision {changes.revision}")
        return changes

    async def transaction(
        self,
        conditions: dict[str, int],
        puts: dict[str, Any],
        deletes: list[str] | None = None,
        leases: dict[str, int] | None = None,
        *,
        urgent: bool = False,
    ) -> int:
        """Change keys atomically if all conditions hold.

        Args:
            conditions: the version that each of these keys must have; 0 if it must not exist.
            puts: values to write.
            deletes: keys to remove.
            leases: the lease to which each written key is attached.
            urgent: leadership or presence depends on the transaction, so it may overdraw the
                budgets.

        Returns:
            The revision of the change.

        Raises:
            TransactionConflictError: a condition does not hold.
            ValueTooLargeError: a value or the transaction exceeds the limits of the service.
            LeaseExpiredError: a lease has expired.
            RequestRefusedError: nothing was written.
            OutcomeUnknownError: the changes may have been written, or may still be written later.
        """
        deletes = deletes or []
        self._acquire_writes(len(puts) + len(deletes), urgent=urgent)
        body = encode_transaction(conditions, puts, deletes, leases or {})
        status, response_body = await self._call("POST", TRANSACTION_TARGET, body)
        if status == HTTPStatus.OK:
            return self._decoded(TRANSACTION_RESULT_DECODER, response_body).revision
        raise self._transaction_error(status, response_body, [*puts, *deletes])

    def _transaction_error(
        self, status: int, response_body: bytes, keys: list[str]
    ) -> StateServiceError:
        """The error for a transaction whose response has a status other than 200."""
        if status == HTTPStatus.CONFLICT:
            return TransactionConflictError(
                self._decoded(TRANSACTION_RESULT_DECODER, response_body).failed
            )
        listed = ",".join(keys)
        if status == HTTPStatus.BAD_REQUEST and NO_SUCH_LEASE in response_body:
            return _with_note(LeaseExpiredError(), f"POST {TRANSACTION_TARGET}: keys {listed}")
        log.error(
            "event=state_request_rejected status=%d answer=%r keys=%s",
            status,
            response_body[:200],
            listed,
        )
        if status == HTTPStatus.BAD_REQUEST:
            return _with_note(
                ValueTooLargeError(str(status)), f"POST {TRANSACTION_TARGET}: {listed}"
            )
        return _refused("POST", TRANSACTION_TARGET, status)

    def _acquire_writes(self, count: int, *, urgent: bool) -> None:
        if urgent:
            self.request_budget.acquire_unconditionally(1.0)
            self.write_budget.acquire_unconditionally(count)
            return
        self._acquire_call()
        if count and not self.write_budget.try_acquire(count):
            raise RequestRefusedError("over the write budget")

    async def new_lease(self, ttl_ms: int) -> int:
        """Create a lease that expires `ttl_ms` milliseconds after its last renewal."""
        self._acquire_call()
        status, response_body = await self._call(
            "POST", LEASES_TARGET, encode_lease_request(ttl_ms)
        )
        if status != HTTPStatus.OK:
            raise _refused("POST", LEASES_TARGET, status)
        return self._decoded(LEASE_DECODER, response_body).lease_id

    async def renew(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            LeaseExpiredError: the lease has expired.
        """
        # Renewals have precedence over all other requests, so they are sent even if the budget is
        # exhausted.
        self.request_budget.try_acquire()
        target = f"{LEASES_TARGET}/{lease}/renew"
        status, _ = await self._call("POST", target, b"{}")
        if status == HTTPStatus.NOT_FOUND:
            raise _with_note(LeaseExpiredError(), f"lease {lease}")
        if status != HTTPStatus.OK:
            raise _refused("POST", target, status)


def _refused(method: str, target: str, status: int) -> RequestRefusedError:
    return _with_note(RequestRefusedError(str(status)), f"{method} {target}: status {status}")


def _with_note(error: Failure, note: str) -> Failure:
    """Add a note of the call to an error for tracebacks; the message stays short for logs."""
    error.add_note(note)
    return error
