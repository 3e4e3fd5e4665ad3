"""Stand-in for the state service, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

KEPT_CHANGES = 10_000
MAX_ITEMS = 1000
MAX_PAGE_BYTES = 512 * 1024


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count: float) -> bool:
        """Take so many from the bucket; False if it holds fewer."""
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateService:
    """A key-value store with revisions, transactions, leases and watches.

    Attributes:
        refused: the controllers that the service answers with 503 (a name), each alone.
        down: whether it answers every controller with 503.
    """

    def __init__(self, limits: dict[str, Any]) -> None:
        self.limits = limits
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.ledger = 0
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.refused: set[str] = set()
        self._down = False
        self._requests, self._writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self._changed = asyncio.Condition()

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; all leases get their full time back after one."""
        self._down = down
        if not down:
            now = time.monotonic()
            self.leases = {n: (now + ttl, ttl) for n, (_, ttl) in self.leases.items()}

    async def run(self) -> None:
        """End leases that are not renewed."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if not self._down:
                for lease in [n for n, (until, _) in self.leases.items() if now > until]:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, (_, _, hold) in self.keys.items() if hold == lease]:
            self.ledger += 1
            del self.keys[key]
            self._record({"remove": key, "stamp": self.ledger})
        await self._notify()

    def _record(self, event: dict[str, Any]) -> None:
        self.log.append(event)
        del self.log[:-KEPT_CHANGES]

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _unavailable(self, name: str) -> bool:
        return self._down or name in self.refused

    async def answer(self, name: str, method: str, target: str, body: bytes) -> tuple[int, Any]:
        """Answer a request of the controller of this name."""
        url = urlsplit(target)
        path, query = url.path, {k: v[0] for k, v in parse_qs(url.query).items()}
        if self._unavailable(name):
            return 503, {}
        if not self._requests.take(1):
            return 429, {}
        value = json.loads(body) if body else {}
        if path == "/changes":
            return await self._changes(name, query)
        if path == "/keys":
            return 200, self._page(query)
        if path.startswith("/keys/"):
            key = path[len("/keys/") :]
            if key not in self.keys:
                return 404, {"ledger": self.ledger}
            data, stamp, hold = self.keys[key]
            return 200, {"key": key, "data": data, "stamp": stamp, "hold": hold}
        if path == "/multi":
            return await self._transaction(value, len(body))
        return await self._lease(method, path, value)

    async def _lease(self, method: str, path: str, value: Any) -> tuple[int, Any]:
        if path == "/leases":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = value["life_ms"] / 1000
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"hold": lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self._end_lease(lease)
        else:
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
        return 200, {}

    def _page(self, query: dict[str, str]) -> Any:
        after, limit = query.get("since", ""), min(MAX_ITEMS, int(query.get("limit", MAX_ITEMS)))
        found = sorted(k for k in self.keys if k.startswith(query["starts"]) and k > after)
        items: list[Any] = []
        size = 0
        for key in found[:limit]:
            item = {"key": key, "data": self.keys[key][0], "stamp": self.keys[key][1]}
            size += len(json.dumps(item))
            if items and size > MAX_PAGE_BYTES:
                break
            items.append(item)
        return {"items": items, "more": len(items) < len(found), "ledger": self.ledger}

    async def _changes(self, name: str, query: dict[str, str]) -> tuple[int, Any]:
        since, prefix = int(query["since"]), query["starts"]
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            left = until - time.monotonic()
            if not self._unavailable(name):
                if self.log and self.log[0]["stamp"] > since + 1:
                    return 410, {}
                events = [
                    e
                    for e in self.log
                    if e["stamp"] > since and (e.get("write") or e["remove"]).startswith(prefix)
                ]
                if events or left <= 0:
                    return 200, {"ledger": self.ledger, "events": events}
            async with self._changed:
                try:
                    async with asyncio.timeout(min(0.25, max(0.01, left))):
                        await self._changed.wait()
                except TimeoutError:
                    pass

    async def _transaction(self, value: Any, size: int) -> tuple[int, Any]:
        conditions, apply = value.get("if", []), value.get("apply", [])
        limit = self.limits
        if (
            len(apply) > limit["txn_ops"]
            or len(conditions) > 4 * limit["txn_ops"]
            or size > 64 * 1024
            or any(
                len(json.dumps(op.get("data"), separators=(",", ":"))) > limit["value_kb"] * 1024
                for op in apply
            )
        ):
            return 400, {"error": "too large"}
        if not self._writes.take(len(apply)):
            return 429, {}
        for op in apply:
            if op.get("hold") is not None and op["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["key"]
            for c in conditions
            if (self.keys[c["key"]][1] if c["key"] in self.keys else 0) != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if apply:
            self.ledger += 1
        for op in apply:
            if "write" in op:
                self.keys[op["write"]] = (op["data"], self.ledger, op.get("hold"))
                self._record({"write": op["write"], "data": op["data"], "stamp": self.ledger})
            elif self.keys.pop(op["remove"], None) is not None:
                self._record({"remove": op["remove"], "stamp": self.ledger})
        await self._notify()
        return 200, {"ledger": self.ledger}
