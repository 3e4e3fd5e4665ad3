"""The state service's wire protocol: a consensus-backed key-value store with leases and watches."""

from __future__ import annotations

from typing import Any

import msgspec


class KeyItem(msgspec.Struct):
    """A key with its value and the revision that wrote it."""

    key: str
    value: Any = msgspec.field(name="data", default=None)
    version: int = msgspec.field(name="stamp", default=0)


class KeyPage(msgspec.Struct):
    """A page of a listing, the revision at which it was read, and whether more pages follow."""

    items: list[KeyItem]
    more: bool = False
    revision: int = msgspec.field(name="ledger", default=0)


class Event(msgspec.Struct):
    """The write (`put`, with `value`) or removal (`delete`) of a key; `version` is its revision."""

    version: int = msgspec.field(name="stamp")
    put: str | None = msgspec.field(name="write", default=None)
    delete: str | None = msgspec.field(name="remove", default=None)
    value: Any = msgspec.field(name="data", default=None)


class Changes(msgspec.Struct):
    """The response to a watch: all events up to and including `revision`."""

    revision: int = msgspec.field(name="ledger")
    events: list[Event]


class TransactionResult(msgspec.Struct):
    """The revision of a transaction, or the keys whose conditions failed."""

    revision: int = msgspec.field(name="ledger", default=0)
    failed: list[str] = []


class Lease(msgspec.Struct):
    """The identifier of a new lease."""

    lease_id: int = msgspec.field(name="hold")


KEY_ITEM_DECODER = msgspec.json.Decoder(KeyItem)
KEY_PAGE_DECODER = msgspec.json.Decoder(KeyPage)
CHANGES_DECODER = msgspec.json.Decoder(Changes)
TRANSACTION_RESULT_DECODER = msgspec.json.Decoder(TransactionResult)
LEASE_DECODER = msgspec.json.Decoder(Lease)


def encode_transaction(
    conditions: dict[str, int], puts: dict[str, Any], deletes: list[str], leases: dict[str, int]
) -> bytes:
    """Encode a transaction.

    Args:
        conditions: the required version of each key; 0: the key must not exist.
        puts: values to write, by key.
        deletes: keys to remove.
        leases: the leases to which written keys are attached, by key.
    """
    apply: list[dict[str, Any]] = []
    for key, value in puts.items():
        item: dict[str, Any] = {"write": key, "data": value}
        if key in leases:
            item["hold"] = leases[key]
        apply.append(item)
    apply.extend({"remove": key} for key in deletes)
    body: dict[str, Any] = {"if": [{"key": k, "stamp": v} for k, v in conditions.items()]}
    if apply:
        body["apply"] = apply
    return msgspec.json.encode(body)


def encode_lease_request(ttl_ms: int) -> bytes:
    """Encode a request for a lease that expires `ttl_ms` milliseconds after its last renewal."""
    return msgspec.json.encode({"life_ms": ttl_ms})
