"""The state service on the wire: a consensus-backed key-value store with leases and watches."""

from __future__ import annotations

from typing import Any

import msgspec


class KeyItem(msgspec.Struct):
    key: str
    value: Any = msgspec.field(name="data", default=None)
    version: int = msgspec.field(name="stamp", default=0)


class KeyPage(msgspec.Struct):
    items: list[KeyItem]
    more: bool = False
    revision: int = msgspec.field(name="ledger", default=0)


class Event(msgspec.Struct):
    version: int = msgspec.field(name="stamp")
    put: str | None = msgspec.field(name="write", default=None)
    delete: str | None = msgspec.field(name="remove", default=None)
    value: Any = msgspec.field(name="data", default=None)


class Changes(msgspec.Struct):
    revision: int = msgspec.field(name="ledger")
    events: list[Event]


class TransactionResult(msgspec.Struct):
    revision: int = msgspec.field(name="ledger", default=0)
    failed: list[str] = []


class Lease(msgspec.Struct):
    lease: int = msgspec.field(name="hold")


KEY_ITEM_DECODER = msgspec.json.Decoder(KeyItem)
KEY_PAGE_DECODER = msgspec.json.Decoder(KeyPage)
CHANGES_DECODER = msgspec.json.Decoder(Changes)
TRANSACTION_RESULT_DECODER = msgspec.json.Decoder(TransactionResult)
LEASE_DECODER = msgspec.json.Decoder(Lease)


def encode_transaction(
    conditions: dict[str, int], puts: dict[str, Any], deletes: list[str], leases: dict[str, int]
) -> bytes:
    """A transaction; `leases` says which of the written keys hang on which lease."""
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
    return msgspec.json.encode({"life_ms": ttl_ms})
