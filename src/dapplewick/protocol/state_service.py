"""The state service on the wire: a consensus-backed key-value store with leases and watches."""

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
    """The write (`put`, with `value`) or the removal (`delete`) of a key at a revision."""

    version: int = msgspec.field(name="stamp")
    put: str | None = msgspec.field(name="write", default=None)
    delete: str | None = msgspec.field(name="remove", default=None)
    value: Any = msgspec.field(name="data", default=None)


class Changes(msgspec.Struct):
    """The events that a watch gives, and up to which revision they are all."""

    revision: int = msgspec.field(name="ledger")
    events: list[Event]


class TransactionResult(msgspec.Struct):
    """The revision of a transaction, or the keys whose conditions do not hold."""

    revision: int = msgspec.field(name="ledger", default=0)
    failed: list[str] = []


class Lease(msgspec.Struct):
    """The name of a new lease."""

    lease_id: int = msgspec.field(name="hold")


KEY_ITEM_DECODER = msgspec.json.Decoder(KeyItem)
KEY_PAGE_DECODER = msgspec.json.Decoder(KeyPage)
CHANGES_DECODER = msgspec.json.Decoder(Changes)
TRANSACTION_RESULT_DECODER = msgspec.json.Decoder(TransactionResult)
LEASE_DECODER = msgspec.json.Decoder(Lease)


def encode_transaction(
    conditions: dict[str, int], puts: dict[str, Any], deletes: list[str], leases: dict[str, int]
) -> bytes:
    """A transaction.

    Args:
        conditions: the version that each of these keys must have; 0: it must not be there.
        puts: values to write.
        deletes: keys to remove.
        leases: the lease on which a written key hangs.
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
    """A request for a lease that expires this long after its last renewal."""
    return msgspec.json.encode({"life_ms": ttl_ms})
