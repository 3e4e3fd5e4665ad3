"""Stand-in for the key-value store that holds the controllers' records."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio

from standins.deployment import LOWERED_LIMITS
from standins.virtual_time import now


class StateService:
    """A key-value store with revisions, conditional transactions, leases and watches."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.ledger = 0
        self.log: list[tuple[int, str, Any, bool]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.down = False
        self.limits_lowered = False  # whether `LOWERED_LIMITS` apply
        self.max_writes_per_s = 0.0  # 0: unlimited
        self._write_tokens, self._write_tokens_at = 0.0, 0.0
        self.rejected_counts = {400: 0, 429: 0}

    def expire(self) -> None:
        if self.down:
            return
        for lease, (until, _) in list(self.leases.items()):
            if now() > until:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, (_, _, reservation) in self.keys.items() if reservation == lease]:
            self.ledger += 1
            del self.keys[key]
            self.log.append((self.ledger, key, None, True))

    def set_down(self, down: bool) -> None:
        self.down = down
        if not down:
            self.leases = {n: (now() + ttl, ttl) for n, (_, ttl) in self.leases.items()}

    async def answer(self, _method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        path, query = urlsplit(target).path, parse_qs(urlsplit(target).query)
        self.expire()
        if path == "/changes":
            return await self._changes(query)
        if self.down:
            return 503, b"{}"
        request = json.loads(body) if body else {}
        if path == "/multi" and (status := self._limit_status(request)):
            self.rejected_counts[status] += 1
            return status, b'{"error":"over the limit"}'
        status, out = self._apply(path, query, request)
        return status, json.dumps(out).encode()

    def _limit_status(self, request: dict[str, Any]) -> int:
        """400 if a transaction is too large, 429 if the write rate is exceeded, else 0."""
        apply = request.get("apply", [])
        max_value_kb, max_ops = (
            (LOWERED_LIMITS["value_kb"], LOWERED_LIMITS["txn_ops"])
            if self.limits_lowered
            else (16.0, 12)
        )
        if len(apply) > max_ops or len(request.get("if", [])) > 4 * max_ops:
            return 400
        for op in apply:
            if len(json.dumps(op.get("data"), separators=(",", ":"))) > max_value_kb * 1024:
                return 400
        if self.max_writes_per_s:
            self._write_tokens = min(
                self.max_writes_per_s,
                self._write_tokens + (now() - self._write_tokens_at) * self.max_writes_per_s,
            )
            self._write_tokens_at = now()
            if self._write_tokens < len(apply):
                return 429
            self._write_tokens -= len(apply)
        return 0

    async def _changes(self, query: dict[str, list[str]]) -> tuple[int, bytes]:
        prefix, after = query["starts"][0], int(query["since"][0])
        until = now() + int(query.get("wait_ms", ["0"])[0]) / 1000
        if self.down and until <= now():
            return 503, b"{}"
        while True:
            self.expire()
            events = [e for e in self.log if e[0] > after and e[1].startswith(prefix)]
            if not self.down and (events or now() >= until):
                break
            await anyio.sleep(0.02)
        out = [
            {"remove": k, "stamp": r} if removed else {"write": k, "data": v, "stamp": r}
            for r, k, v, removed in events
        ]
        return 200, json.dumps({"ledger": self.ledger, "events": out}).encode()

    def _apply(
        self, path: str, query: dict[str, list[str]], body: dict[str, Any]
    ) -> tuple[int, Any]:
        if path == "/leases":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = body["life_ms"] / 1000
            self.leases[lease] = (now() + ttl, ttl)
            return 200, {"hold": lease}
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl, ttl)
            return 200, {}
        if path == "/keys":
            prefix, after = query["starts"][0], query.get("since", [""])[0]
            found = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
            limit = int(query["limit"][0])
            items = [
                {"key": k, "data": self.keys[k][0], "stamp": self.keys[k][1]} for k in found[:limit]
            ]
            return 200, {"items": items, "more": len(found) > limit, "ledger": self.ledger}
        if path.startswith("/keys/"):
            entry = self.keys.get(path[6:])
            if entry is None:
                return 404, {"ledger": self.ledger}
            return 200, {"key": path[6:], "data": entry[0], "stamp": entry[1]}
        return self._txn(body)

    def _txn(self, body: dict[str, Any]) -> tuple[int, Any]:
        for op in body.get("apply", []):
            if op.get("hold") is not None and op["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["key"]
            for c in body.get("if", [])
            if (self.keys[c["key"]][1] if c["key"] in self.keys else 0) != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if body.get("apply"):
            self.ledger += 1
        for op in body.get("apply", []):
            if "write" in op:
                value = json.loads(json.dumps(op["data"]))
                self.keys[op["write"]] = (value, self.ledger, op.get("hold"))
                self.log.append((self.ledger, op["write"], value, False))
            elif self.keys.pop(op["remove"], None) is not None:
                self.log.append((self.ledger, op["remove"], None, True))
        return 200, {"ledger": self.ledger}
