"""Stand-ins for the state service, the cloud, the workers and the users, in virtual time.

They follow the published protocols and check the rules as things happen. Everything is driven
by a seeded generator and an event loop whose clock jumps, so a day repeats exactly.
"""

from __future__ import annotations

import asyncio
import json
import random
import selectors
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import cbor2

from dapplewick import config
from dapplewick.node import Node
from dapplewick.transport import http
from dapplewick.transport.http import Answer, Request

ZONES = ["a", "b"]
WORKERS = {
    "report_s": 2.0, "lease_s": 14.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": 36.0,
}  # fmt: skip
TYPES = [
    {
        "sku": "c8", "cpus": 8.0, "accelerators": 0.0, "ram_gb": 32.0, "local_gb": 50.0,
        "fetch_gb_per_s": 1.0, "hourly": 1.0, "low_price": 0.4, "ready_s": 5, "yards": ZONES,
    },
    {
        "sku": "g8", "cpus": 16.0, "accelerators": 2.0, "ram_gb": 64.0, "local_gb": 50.0,
        "fetch_gb_per_s": 1.0, "hourly": 5.0, "low_price": 2.0, "ready_s": 8, "yards": ZONES,
    },
]  # fmt: skip
TEAMS = [
    {"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 2.0, "gpus_max": 5.0},
    {"name": "blue", "cpus": 0.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0},
]


# What the state service takes from some moment on, on days on which that comes.
NEXT = {"value_kb": 1.0, "txn_ops": 4, "write_rps": 60.0}


def deployment(count: int, zones: list[str] = ZONES) -> dict[str, Any]:
    """The deployment's part of the settings, the same for every controller."""
    return {
        "count": count,
        "zones": zones,
        "teams": TEAMS,
        "objectives": [],
        "workers": WORKERS,
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 12, "next": NEXT},
        "cloud": {"rps": 8.0, "list_lag_s": 4.0},
        "time_bound_ms": 50.0,
    }


def zone_of(name: str, zones: list[str]) -> str:
    """The zone of a controller."""
    return zones[int(name[1:]) % len(zones)]


def settings(name: str, count: int = 3, zones: list[str] = ZONES, parse: Any = config) -> Any:
    nodes = [f"n{i}" for i in range(count)]
    value = {
        "host_name": name,
        "zone": zone_of(name, zones),
        "client_listen": "127.0.0.1:1",
        "peer_listen": "127.0.0.1:1",
        "peers": [
            {"host_name": n, "zone": "a", "peer_addr": f"127.0.0.1:{100 + int(n[1:])}"}
            for n in nodes
            if n != name
        ],
        "outside": {"cloud": "127.0.0.1:2", "state": "127.0.0.1:3"},
        "deployment": deployment(count, zones),
    }
    return parse.parse(json.dumps(value).encode())


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits: its clock jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__(_JumpingSelector(self))
        self.at = 1000.0

    def time(self) -> float:
        return self.at


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("nothing will ever happen again")
        self._loop.at += max(0.0, timeout)
        return super().select(0)


def run_day(main: Any) -> None:
    """Run a coroutine function to its end in virtual time."""
    anyio.run(main, backend_options={"loop_factory": VirtualLoop})


class Clock:
    """Virtual time, read as the controllers read theirs."""

    def __call__(self) -> float:
        return asyncio.get_running_loop().time()


now = Clock()


class StateService:
    """The key-value store: revisions, conditions, leases and watches."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.ledger = 0
        self.log: list[tuple[int, str, Any, bool]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.down = False
        self.lowered = False  # whether the limits of `NEXT` are in force
        self.rate = 0.0  # writes a second that it takes; 0: as many as come
        self._level, self._level_at = 0.0, 0.0
        self.refused = {400: 0, 429: 0}

    def expire(self) -> None:
        if self.down:
            return
        for lease, (until, _) in list(self.leases.items()):
            if now() > until:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, (_, _, hold) in self.keys.items() if hold == lease]:
            self.ledger += 1
            del self.keys[key]
            self.log.append((self.ledger, key, None, True))

    def set_down(self, down: bool) -> None:
        self.down = down
        if not down:
            self.leases = {n: (now() + ttl, ttl) for n, (_, ttl) in self.leases.items()}

    async def answer(self, method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        path, query = urlsplit(target).path, parse_qs(urlsplit(target).query)
        self.expire()
        if path == "/changes":
            return await self._changes(query)
        if self.down:
            return 503, b"{}"
        said = json.loads(body) if body else {}
        if path == "/multi" and (status := self._over(said)):
            self.refused[status] += 1
            return status, b'{"error":"over the limit"}'
        status, out = self._apply(method, path, query, said)
        return status, json.dumps(out).encode()

    def _over(self, said: dict[str, Any]) -> int:
        """400 where a transaction is too large, 429 where there are too many writes."""
        apply = said.get("apply", [])
        most, ops = (NEXT["value_kb"], NEXT["txn_ops"]) if self.lowered else (16.0, 12)
        if len(apply) > ops or len(said.get("if", [])) > 4 * ops:
            return 400
        for op in apply:
            if len(json.dumps(op.get("data"), separators=(",", ":"))) > most * 1024:
                return 400
        if self.rate:
            self._level = min(self.rate, self._level + (now() - self._level_at) * self.rate)
            self._level_at = now()
            if self._level < len(apply):
                return 429
            self._level -= len(apply)
        return 0

    async def _changes(self, query: dict[str, list[str]]) -> tuple[int, bytes]:
        prefix, since = query["starts"][0], int(query["since"][0])
        until = now() + int(query.get("wait_ms", ["0"])[0]) / 1000
        if self.down and until <= now():
            return 503, b"{}"
        while True:
            self.expire()
            events = [e for e in self.log if e[0] > since and e[1].startswith(prefix)]
            if not self.down and (events or now() >= until):
                break
            await anyio.sleep(0.02)
        out = [
            {"remove": k, "stamp": r} if gone else {"write": k, "data": v, "stamp": r}
            for r, k, v, gone in events
        ]
        return 200, json.dumps({"ledger": self.ledger, "events": out}).encode()

    def _apply(
        self, method: str, path: str, query: dict[str, list[str]], body: dict[str, Any]
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
            prefix, since = query["starts"][0], query.get("since", [""])[0]
            found = sorted(k for k in self.keys if k.startswith(prefix) and k > since)
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


class Cloud:
    """Rents machines; each new one gets a worker."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.bookings: dict[str, list[str]] = {}
        self.next_name = 0
        self.down = False
        self.lacking: set[tuple[str, bool]] = set()  # types that it has none of
        self.history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    async def answer(self, method: str, target: str, body: bytes | None) -> tuple[int, bytes]:
        if self.down:
            return 503, b'{"error":"trouble"}'
        path, query = urlsplit(target).path, parse_qs(urlsplit(target).query)
        if path == "/catalog":
            types = [kind | {"yards": self.world.zones} for kind in TYPES]
            return 200, json.dumps({"builds": types}).encode()
        if path == "/hosts" and method == "POST":
            asked = json.loads(body or b"{}")
            if (asked["build"], asked["borrowed"]) in self.lacking:
                return 503, b'{"error":"no capacity"}'
            if asked["booking"] not in self.bookings:
                names = []
                for _ in range(asked["how_many"]):
                    name = f"vm-{self.next_name:06d}"
                    self.next_name += 1
                    self.world.new_machine(name, asked["build"], asked["yard"], asked["borrowed"])
                    names.append(name)
                self.bookings[asked["booking"]] = names
            return 200, json.dumps({"looms": self.bookings[asked["booking"]]}).encode()
        if path == "/hosts/delete":
            for name in json.loads(body or b"{}")["looms"]:
                self.world.remove_machine(name)
            return 200, b"{}"
        lag = 4.0 * self.world.random.random() * 2
        shown = [m for at, m in self.history if at <= now() - lag] or [[]]
        since = query.get("since", [""])[0]
        return 200, json.dumps({"looms": [m for m in shown[-1] if m["name_id"] > since]}).encode()

    def snapshot(self) -> None:
        machines = [
            {
                "name_id": w.name, "endpoint": "", "build": w.type, "yard": w.zone,
                "borrowed": w.spot, "stage": "running", "held_s": now() - w.born,
            }
            for w in self.world.workers.values()
        ]  # fmt: skip
        self.history.append((now(), machines))


class Wire:
    """The way of one controller to a service. Mode: how the network treats it now."""

    def __init__(self, world: World, node: str, service: Any, errors: Any = http) -> None:
        self.world = world
        self.node = node
        self.service = service
        self.errors = errors  # the version of the controller has its own

    async def request(
        self, method: str, target: str, body: bytes | None, within: float
    ) -> tuple[int, bytes]:
        await self.world.thawed(self.node)
        try:
            return await self._request(method, target, body, within)
        finally:
            # What a controller that stands still was answered is found when it goes on.
            await self.world.thawed(self.node)

    async def _request(
        self, method: str, target: str, body: bytes | None, within: float
    ) -> tuple[int, bytes]:
        mode = self.world.mode(self.node, self.service)
        random_ = self.world.random
        state = self.service is self.world.state
        await anyio.sleep((0.002 + random_.random() * 0.004) * (self.world.slow if state else 1.0))
        if mode == "refused":
            return 503, b"{}"
        if mode == "held":
            # The network keeps the request and delivers it when the cut is over.
            async def later() -> None:
                while self.world.mode(self.node, self.service) == "held":
                    await anyio.sleep(0.05)
                await self.service.answer(method, target, body)

            if "/changes" not in target:
                self.world.group.start_soon(later)
            await anyio.sleep(within)
            raise self.errors.HttpError("timeout")
        if mode == "cut":
            await anyio.sleep(within)
            known = random_.random() >= 0.5
            raise (self.errors.NotSent if known else self.errors.HttpError)("timeout")
        lossy = mode == "lossy" and "/changes" not in target
        if lossy and random_.random() < 0.3:
            # The request is carried out late, or its answer is lost.
            delay = random_.choice([0.0, 1.0, 5.0, 20.0])

            async def late() -> None:
                await anyio.sleep(delay)
                await self.service.answer(method, target, body)

            self.world.group.start_soon(late)
            await anyio.sleep(within)
            raise self.errors.HttpError("timeout")
        if state and target == "/multi" and random_.random() < self.world.lost_answers:
            # Carried out at once, and only its answer is lost.
            await self.service.answer(method, target, body)
            await anyio.sleep(within)
            raise self.errors.HttpError("timeout")
        if state and target == "/multi" and self.world.put_off(self.node, body):
            # No answer, and carried out after newer ones of the same controller.
            async def put_off() -> None:
                await anyio.sleep(random_.uniform(2.0, 12.0))
                await self.service.answer(method, target, body)

            self.world.group.start_soon(put_off)
            await anyio.sleep(within)
            raise self.errors.HttpError("timeout")
        with anyio.move_on_after(within):
            answer: tuple[int, bytes] = await self.service.answer(method, target, body)
            if "/changes" in target and self.world.mode(self.node, self.service) == "refused":
                # The open watch of a node that alone is refused waits as in an outage.
                await anyio.sleep(within)
            return answer
        raise self.errors.HttpError("timeout")


class Link:
    """The way of one controller to another."""

    def __init__(self, world: World, sender: str, port: int) -> None:
        self.world = world
        self.sender = sender
        self.target = f"n{port - 100}"
        self.waiting: dict[str, Any] = {}

    def post(self, kind: str, message: dict[str, Any]) -> None:
        self.waiting[kind] = cbor2.dumps(message)

    async def ask(self, message: dict[str, Any], within: float) -> dict[str, Any] | None:
        node = self.world.nodes.get(self.target)
        with anyio.move_on_after(within):
            if node is None or {self.sender, self.target} & self.world.cut_peers:
                await anyio.sleep(within)
                return None
            await anyio.sleep(0.005)
            answer = await node.on_request(cbor2.loads(cbor2.dumps(message)))
            said: dict[str, Any] | None = cbor2.loads(cbor2.dumps(answer))
            return said
        return None

    async def run(self) -> None:
        while True:
            await anyio.sleep(0.02 + self.world.random.random() * 0.03)
            await self.world.thawed(self.sender)
            batch, self.waiting = list(self.waiting.values()), {}
            node = self.world.nodes.get(self.target)
            if node is None or {self.sender, self.target} & self.world.cut_peers:
                continue
            for frame in batch:
                if self.target in self.world.frozen:
                    self.world.held.setdefault(self.target, []).append(frame)
                else:
                    node.on_message(cbor2.loads(frame))


class Piece:
    def __init__(self, attempt: int) -> None:
        self.attempt = attempt
        self.stage = "fetching"
        self.cause: str | None = None
        self.saved = False
        self.until = 0.0


class Worker:
    """One machine's worker, with the tasks on it."""

    def __init__(self, world: World, name: str, type_: str, zone: str, spot: bool) -> None:
        self.world = world
        self.name = name
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.born = now()
        self.session = 1
        self.seq = 0
        self.token = 0
        self.notice: float | None = None
        self.pieces: dict[str, Piece] = {}
        self.images: set[str] = set()
        self.renewed = now()
        self.changed = True
        self.sent_elsewhere = False  # the last report got no answer, or one that names another
        self.hanging = False
        self.cut = False
        self.deaf = False  # its reports arrive, no answer reaches it
        self.gone = False

    async def run(self) -> None:
        await anyio.sleep(self.world.random.uniform(*self.world.boot_s))
        self.renewed = now()
        target, last = self.world.random.choice(sorted(self.world.names)), -1e9
        while not self.gone:
            due = last + WORKERS["report_s"] * (0.75 + 0.5 * self.world.random.random())
            if self.sent_elsewhere:
                due = now()  # the protocol: at once, or after the pause that was already made
            while not self.gone and now() < due and not (self.changed and now() > last + 0.5):
                await anyio.sleep(0.1)
            while self.hanging and not self.gone:
                await anyio.sleep(0.1)
            if self.gone:
                return
            self.changed = False
            last = now()
            target = await self._report(target)

    async def _report(self, target: str) -> str:
        self.seq += 1
        session, sent = self.session, now()
        body = {
            "loom": self.name, "endpoint": "", "build": self.type, "yard": self.zone,
            "borrowed": self.spot, "shift": session, "tally": self.seq, "baton": self.token,
            "recall_s": self.notice,
            "pieces": [
                {"piece": n, "try": p.attempt, "stage": p.stage}
                | ({"cause": p.cause, "saved": p.saved} if p.cause else {})
                for n, p in self.pieces.items()
            ],
        }  # fmt: skip
        raw = json.dumps(body).encode()
        answer: Answer | None = None
        with anyio.move_on_after(4.0):
            answer = await self.world.to_node(target, Request("POST", "/checkin", raw, False), self)
        self.sent_elsewhere = answer is None or answer.status != 200
        names = sorted(self.world.names)
        following = names[(names.index(target) + 1) % len(names)]
        if answer is None or answer.status not in (200, 421):
            await anyio.sleep(1.0)
            return following
        said = json.loads(answer.body)
        if answer.status == 421:
            owner: str | None = said.get("foreman")
            if owner is not None and owner in names and owner != target:
                await anyio.sleep(self.world.random.random() * 0.5)
                return owner
            await anyio.sleep(1.0)
            return following
        if session != self.session or said["baton"] < self.token or self.gone:
            return target
        if said["baton"] > self.token:
            self.token = said["baton"]
            self.changed = True
        self.renewed = sent
        for order in said["orders"]:
            self.order(order)
        return target

    def order(self, order: dict[str, Any]) -> None:
        name, attempt, verb = order["piece"], order["try"], order["verb"]
        piece = self.pieces.get(name)
        if verb == "launch":
            if piece is not None and piece.attempt == attempt:
                return
            if (name, attempt) in self.world.launched:
                gang = self.world.jobs[name.split("/")[0]]["shape"] == "group"
                assert gang, f"attempt {attempt} of {name} was repeated"
            self.world.launched.add((name, attempt))
            if piece is not None and piece.stage != "exited":
                self.world.broken.append(f"in_use {name}")
                return
            new = self.pieces[name] = Piece(attempt)
            job = self.world.jobs[name.split("/")[0]]
            new.until = now() + (0.0 if job["kit"] in self.images else 1.0)
            used = [
                self.world.jobs[n.split("/")[0]]
                for n, p in self.pieces.items()
                if p.stage != "exited"
            ]
            kind = next(t for t in TYPES if t["sku"] == self.type)
            for field in ("cpus", "accelerators", "ram_gb"):
                if sum(j[field] for j in used) > kind[field] + 1e-6:  # type: ignore[operator]
                    new.stage, new.cause = "exited", "full"
        elif verb == "kill" and piece is not None and piece.attempt == attempt:
            if piece.stage != "exited":
                piece.stage, piece.cause = "exited", "halted"
        elif verb == "forget" and piece is not None and piece.attempt == attempt:
            assert piece.stage == "exited", name
            del self.pieces[name]
        self.changed = True

    def tick(self) -> None:
        if self.hanging:
            return
        if now() - self.renewed > WORKERS["lease_s"]:
            self.pieces.clear()
            self.session += 1
            self.renewed = now()
            self.changed = True
            return
        for name, piece in list(self.pieces.items()):
            job_id = name.split("/")[0]
            job = self.world.jobs[job_id]
            if piece.stage == "fetching" and now() >= piece.until:
                self.images.add(job["kit"])
                self.world.check_start(self, name)
                piece.stage = "gathering" if job["shape"] == "group" else "running"
                piece.until = now() + self.world.run_time(name)
                if name in self.world.results:
                    piece.stage, piece.cause = "exited", "done"
                self.changed = True
            elif piece.stage == "gathering":
                self._gather(job_id, job, piece)
            elif piece.stage == "running" and job["shape"] == "daemon":
                self._replica(name, piece)
            elif piece.stage == "running" and now() >= piece.until:
                if job["shape"] == "group" and not self.world.complete(job_id, piece.attempt):
                    piece.stage, piece.cause = "exited", "peers"
                else:
                    piece.stage, piece.cause = "exited", "done"
                    self.world.results.add(name)
                    if job["shape"] == "group":
                        self.world.finish(job_id, piece.attempt)
                self.changed = True
            elif (
                piece.stage == "running"
                and job["shape"] == "group"
                and not self.world.complete(job_id, piece.attempt)
            ):
                piece.stage, piece.cause = "exited", "peers"
                self.changed = True

    def _replica(self, name: str, piece: Piece) -> None:
        """A replica runs until it is stopped, unless the day has it end by itself."""
        self.world.served[name] = self.world.served.get(name, 0.0) + 0.25
        if self.world.random.random() < self.world.replica_ends * 0.25:
            piece.stage = "exited"
            piece.cause = self.world.random.choice(["done", "error", "full"])
            self.changed = True

    def _gather(self, job_id: str, job: dict[str, Any], piece: Piece) -> None:
        if self.world.complete(job_id, piece.attempt):
            piece.stage = "running"
            piece.until = now() + job["true_s"]
            self.changed = True
        elif now() > piece.until - job["true_s"] + WORKERS["gang_wait_s"]:
            piece.stage, piece.cause = "exited", "alone"
            self.changed = True


class World:
    """Everything together, with the rules checked as they go."""

    def __init__(self, seed: int, count: int = 3, zones: list[str] = ZONES) -> None:
        self.random = random.Random(seed)
        self.zones = zones
        self.cut_zone = ""  # a zone whose controllers and workers reach only one another
        self.names = [f"n{i}" for i in range(count)]
        self.nodes: dict[str, Node] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.state = StateService()
        self.cloud = Cloud(self)
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.accepted: set[str] = set()
        self.told: dict[str, str] = {}
        self.cancelled_at: dict[str, float] = {}
        self.results: set[str] = set()
        self.launched: set[tuple[str, int]] = set()
        self.starts = 0
        self.broken: list[str] = []
        self.modes: dict[tuple[str, str], str] = {}
        self.cut_peers: set[str] = set()
        self.cut_workers: set[str] = set()
        self.slow = 1.0  # how many times as long the state service takes to answer
        self.lost_answers = 0.0  # the share of transactions of which only the answer is lost
        self.boot_s = (2.0, 10.0)  # the least and the most that a machine takes to come up
        self.kept_reports: list[Request] | None = None  # copies of reports, while they are kept
        self.accepted_at: dict[str, float] = {}
        self.first_start: dict[str, float] = {}  # of each task
        self.late_writes = 0.0  # the share of transactions without an answer, carried out late
        self.lose: Any = None  # or which: called with a controller's name and the transaction
        self.writes: list[tuple[float, str, dict[str, Any]]] = []  # what was sent, and by whom
        self.calm_at: float | None = None  # since when there are no more troubles
        self.lease_ends_hung = False  # hung beyond its lease, a machine can't go on with tasks
        self.waiting_since: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.served: dict[str, float] = {}  # seconds that each replica ran
        self.replica_ends = 0.0  # how often in a second one ends by itself
        self.reruns: list[str] = []  # tasks that were started again after they were done
        self.starts_of: dict[str, int] = {}
        self.started_after_cancel: dict[str, float] = {}
        self.copies = 0.0  # the share of reports of which a late copy comes
        self.copied = 0
        self.old: Any = None  # the version in production
        self.old_names: set[str] = set()  # controllers that start with it
        self.frozen: set[str] = set()  # controllers that stand still
        self.held: dict[str, list[Any]] = {}  # frames and reports for them
        self.group: Any = None
        self.count = count

    def run_time(self, name: str) -> float:
        job_id, _, index = name.rpartition("/")
        each: list[float] | None = self.jobs[job_id].get("true_each")
        return each[int(index)] if each else float(self.jobs[job_id]["true_s"])

    # Network

    def put_off(self, node: str, body: bytes | None) -> bool:
        """Whether a transaction gets no answer and is carried out late."""
        said = json.loads(body or b"{}")
        self.writes.append((now(), node, said))
        if self.lose is not None:
            return bool(self.lose(node, said))
        return self.late_writes > 0.0 and self.random.random() < self.late_writes

    def mode(self, node: str, service: Any) -> str:
        kind = "state" if service is self.state else "cloud"
        return self.modes.get((node, kind), "ok")

    async def to_node(
        self, name: str, request: Request, worker: Worker | None = None
    ) -> Answer | None:
        if worker is not None and (worker.cut or name in self.cut_workers):
            await anyio.sleep(10.0)
            return None
        if self.cut_zone:
            there = worker.zone if worker is not None else "users"
            if (there == self.cut_zone) != (zone_of(name, self.zones) == self.cut_zone):
                await anyio.sleep(10.0)
                return None
        await anyio.sleep(0.001 + self.random.random() * 0.004)
        node = self.nodes.get(name)
        if name in self.frozen:
            self.held.setdefault(name, []).append(request)
            await anyio.sleep(10.0)
            return None
        if node is None:
            return None
        if worker is not None and self.random.random() < self.copies:
            self.group.start_soon(self._late_copy, request)
        if worker is not None and self.kept_reports is not None:
            self.kept_reports.append(request)
        answer = await node.handle(request)
        await self.thawed(name)
        if worker is not None and worker.deaf:
            await anyio.sleep(10.0)
            return None
        if worker is not None and self.random.random() < 0.01:
            await anyio.sleep(10.0)  # an answer that comes too late
        return answer if self.nodes.get(name) is node else None

    async def thawed(self, name: str) -> None:
        while name in self.frozen:
            await anyio.sleep(0.01)

    async def stand_still(self, name: str, length: float) -> None:
        """A controller stands still while its clock runs on: what it was answered, was about to
        send, or was sent meanwhile, it handles when it goes on."""
        node = self.nodes.get(name)
        self.frozen.add(name)
        await anyio.sleep(length)
        self.frozen.discard(name)
        for item in self.held.pop(name, []):
            if node is not None and self.nodes.get(name) is node:
                if isinstance(item, Request):
                    await node.handle(item)
                else:
                    node.on_message(cbor2.loads(item))

    async def _late_copy(self, request: Request) -> None:
        """A copy of a report, seconds to well over a lease late, at any controller."""
        await anyio.sleep(self.random.choice([1.0, 4.0, 12.0, 30.0]) * (0.5 + self.random.random()))
        node = self.nodes.get(self.random.choice(self.names))
        if node is not None:
            self.copied += 1
            await node.handle(request)

    async def deliver(self, copies: list[Request]) -> None:
        """Each controller gets copies of reports that were kept."""
        for request in copies:
            for node in list(self.nodes.values()):
                self.copied += 1
                await node.handle(request)

    # Controllers

    def start_node(self, name: str) -> None:
        if name in self.nodes:
            return  # another trouble's restart was quicker: a node runs once

        old = self.old if name in self.old_names else None
        errors = old.http if old is not None else http

        def connect(_: str, port: int) -> Any:
            return Wire(self, name, self.cloud if port == 2 else self.state, errors)

        def link(_: str, port: int) -> Any:
            return Link(self, name, port)

        seed = self.random.getrandbits(32)
        made = old.Node if old is not None else Node
        parse = old.config if old is not None else config
        node = made(
            settings(name, self.count, self.zones, parse),
            connect=connect, link=link, clock=now, seed=seed,
        )  # fmt: skip
        node.boot = f"{name}-{seed}"
        node.wall = now  # type: ignore[method-assign]
        self.nodes[name] = node

        # Known before it runs: one that ends in the same moment must not run on.
        scope = self.scopes[name] = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await node.run_loops()

        self.group.start_soon(run)

    def crash(self, name: str) -> None:
        self.nodes.pop(name, None)
        scope = self.scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    # Machines

    def new_machine(self, name: str, type_: str, zone: str, spot: bool) -> None:
        worker = self.workers[name] = Worker(self, name, type_, zone, spot)
        self.group.start_soon(worker.run)

    def remove_machine(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.gone = True
            worker.pieces.clear()

    def complete(self, job_id: str, attempt: int) -> bool:
        there = {
            n
            for w in self.workers.values()
            if not w.hanging
            for n, p in w.pieces.items()
            if n.split("/")[0] == job_id
            and p.attempt == attempt
            and (p.stage in ("gathering", "running") or p.cause == "done")
        }
        return bool(len(there) == self.jobs[job_id]["pieces"])

    def finish(self, job_id: str, attempt: int) -> None:
        """The tasks of a gang complete together: if one is done, all are."""
        for worker in self.workers.values():
            for name, piece in worker.pieces.items():
                if name.split("/")[0] == job_id and piece.attempt == attempt:
                    piece.stage, piece.cause = "exited", "done"
                    worker.changed = True
                    self.results.add(name)

    # Rules

    def on_machines(self) -> list[tuple[Worker, str]]:
        return [
            (w, n)
            for w in self.workers.values()
            for n, p in w.pieces.items()
            if p.stage not in ("exited", "fetching")
        ]

    def check_start(self, worker: Worker, name: str) -> None:
        self.starts += 1
        self.first_start.setdefault(name, now())
        self.starts_of[name] = self.starts_of.get(name, 0) + 1
        job_id = name.rpartition("/")[0]
        job = self.jobs[job_id]
        self.waiting_since.pop(job_id, None)
        if name in self.results:
            self.reruns.append(name)
        if job_id in self.cancelled_at:
            late = now() - self.cancelled_at[job_id]
            self.started_after_cancel[name] = late
            if late > WORKERS["cancel_s"]:
                self.broken.append(f"ran_cancelled {name} started")
        there = self.on_machines()
        for other, other_name in there:
            if other_name == name and other is not worker:
                self.broken.append(f"ran_twice {name}")
        if job["builds"] is not None and worker.type not in job["builds"]:
            self.broken.append(f"wrong_place {name} type")
        if job["yard"] not in (None, worker.zone):
            self.broken.append(f"wrong_place {name} zone")
        if worker.spot and not job["borrowed"]:
            self.broken.append(f"wrong_place {name} spot")
        mates = [w for w, n in there if n.rpartition("/")[0] == job_id and n != name]
        if job["same_place"] and any(w.zone != worker.zone for w in mates):
            self.broken.append(f"wrong_place {name} same_place")
        if job["scatter"]:
            here = sum(w.zone == worker.zone for w in mates) + 1
            if here > (job["pieces"] + 1) // 2:
                self.broken.append(f"wrong_place {name} scatter")
        team = next(t for t in TEAMS if t["name"] == job["crew"])
        for limit, field in (("cpus_max", "cpus"), ("gpus_max", "accelerators")):
            used = sum(
                self.jobs[n.rpartition("/")[0]][field]
                for _, n in there
                if self.jobs[n.rpartition("/")[0]]["crew"] == job["crew"] and n != name
            )
            if 0 < team[limit] < used + job[field] - 1e-6:  # type: ignore[operator]
                self.broken.append(f"quota {name}")

    def tick(self) -> None:
        for worker in list(self.workers.values()):
            worker.tick()
        for worker, name in self.on_machines():
            asked = self.cancelled_at.get(name.rpartition("/")[0])
            if asked is not None and now() > asked + WORKERS["cancel_s"]:
                # Hung beyond its lease it ends its tasks before it goes on with anything.
                over = worker.hanging and now() - worker.renewed > WORKERS["lease_s"]
                if not (over and self.lease_ends_hung):
                    self.broken.append(f"ran_cancelled {name}")
        if self.calm_at is not None:
            self._check_waiting()

    def _check_waiting(self) -> None:
        """Once troubles are over, no job waits for 90 s while a machine that fits has room and
        its team is under its limit."""
        assert self.calm_at is not None
        there = self.on_machines_or_fetching()
        where: dict[str, list[Worker]] = {}
        for worker, name in there:
            where.setdefault(name.rpartition("/")[0], []).append(worker)
        for job_id in sorted(self.accepted):
            job = self.jobs[job_id]
            names = [f"{job_id}/{i}" for i in range(job["pieces"])]
            placed = where.get(job_id, [])
            left = sum(n not in self.results for n in names) - len(placed)
            over = self.told.get(job_id) in ("done", "withdrawn") or job_id in self.cancelled_at
            if over or left <= 0 or not self._could_start(job, placed, there):
                self.waiting_since.pop(job_id, None)
                continue
            since = max(self.calm_at, self.waiting_since.setdefault(job_id, now()))
            if now() - since > 90.0:
                self.broken.append(f"waits {job_id}")
                self.waiting_since.pop(job_id)

    def on_machines_or_fetching(self) -> list[tuple[Worker, str]]:
        return [
            (w, n)
            for w in self.workers.values()
            for n, p in w.pieces.items()
            if p.stage != "exited"
        ]

    def _could_start(
        self, job: dict[str, Any], placed: list[Worker], there: list[tuple[Worker, str]]
    ) -> bool:
        """Whether one task of an array, or all of a gang, fit somewhere by plain counting."""
        gang = job["shape"] == "group"
        if gang and placed:
            return False
        want = job["pieces"] if gang else 1
        team = next(t for t in TEAMS if t["name"] == job["crew"])
        for limit, field in (("cpus_max", "cpus"), ("gpus_max", "accelerators")):
            used = sum(
                self.jobs[n.rpartition("/")[0]][field]
                for _, n in there
                if self.jobs[n.rpartition("/")[0]]["crew"] == job["crew"]
            )
            if 0 < team[limit] < used + want * job[field] - 1e-6:  # type: ignore[operator]
                return False
        rooms: dict[str, int] = {}
        for worker in self.workers.values():
            if worker.hanging or worker.cut or worker.deaf or worker.notice is not None:
                continue
            if job["builds"] is not None and worker.type not in job["builds"]:
                continue
            if job["yard"] not in (None, worker.zone) or (worker.spot and not job["borrowed"]):
                continue
            kind = next(t for t in TYPES if t["sku"] == worker.type)
            fit = 99.0
            for field in ("cpus", "accelerators", "ram_gb"):
                used = sum(self.jobs[n.rpartition("/")[0]][field] for w, n in there if w is worker)
                if job[field] > 0:
                    room = float(kind[field]) - used + 1e-6  # type: ignore[arg-type]
                    fit = min(fit, room // job[field])
            rooms[worker.zone] = rooms.get(worker.zone, 0) + int(max(0.0, fit))
        if job["same_place"]:
            if placed:
                rooms = {z: n for z, n in rooms.items() if z == placed[0].zone}
            return max(rooms.values(), default=0) >= want
        if job["scatter"]:
            cap = (job["pieces"] + 1) // 2
            rooms = {z: min(n, cap - sum(w.zone == z for w in placed)) for z, n in rooms.items()}
        return sum(max(0, n) for n in rooms.values()) >= want

    # Users

    async def ask(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        alive = [n for n in sorted(self.nodes) if self.nodes[n].ready]
        if not alive:
            return 0, {}
        answer: Answer | None = None
        with anyio.move_on_after(5.0):  # a controller that crashes answers nobody
            request = Request(method, path, body, False)
            answer = await self.to_node(self.random.choice(alive), request)
        return (0, {}) if answer is None else (answer.status, json.loads(answer.body))

    async def user(self, job_id: str, body: dict[str, Any], cancel_after: float | None) -> None:
        self.jobs[job_id] = body
        raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        for _ in range(60):
            status, _said = await self.ask("POST", "/v2/runs", raw)
            if status in (200, 201):
                break
            if status in (400, 422) and job_id in self.accepted:
                self.broken.append(f"forgotten {job_id}")
            assert status not in (400, 422, 500), (status, _said)
            await anyio.sleep(1.0)
        else:
            return
        self.accepted.add(job_id)
        begun = self.accepted_at.setdefault(job_id, now())
        asked = False
        while True:
            if cancel_after is not None and now() - begun > cancel_after:
                asked = True
                status, said = await self.ask("POST", f"/v2/runs/{job_id}/abort")
                if status == 200:
                    self._told(job_id, said["stage"], True)
                    cancel_after = None
            status, said = await self.ask("GET", f"/v2/runs/{job_id}")
            if status == 404:
                self.broken.append(f"forgotten {job_id}")
            if status == 200:
                self.answered_at[job_id] = now()
                self._told(job_id, said["stage"], asked or job_id in self.cancelled_at)
            elif self.calm_at is not None and (
                now() - max(self.calm_at, self.answered_at.get(job_id, 0.0)) > 75.0
            ):
                self.broken.append(f"forgotten {job_id} for 75 s")
            await anyio.sleep(3.0)

    def _told(self, job_id: str, stage: str, may_be_cancelled: bool) -> None:
        before = self.told.get(job_id)
        if before in ("done", "withdrawn") and stage != before:
            self.broken.append(f"went_back {job_id}")
        if stage == "done" and self.jobs[job_id]["shape"] == "daemon":
            self.broken.append(f"not_done {job_id} is a service")
        if stage == "done":
            pieces = self.jobs[job_id]["pieces"]
            if any(f"{job_id}/{i}" not in self.results for i in range(pieces)):
                self.broken.append(f"not_done {job_id}")
        if stage == "withdrawn":
            if not may_be_cancelled:
                self.broken.append(f"went_back {job_id} was not cancelled")
            self.cancelled_at.setdefault(job_id, now())
        self.told[job_id] = stage

    def job(self, **fields: Any) -> dict[str, Any]:
        body = {
            "name_id": "", "bundle": "x", "crew": "red", "shape": "sweep", "urgency": "standard",
            "pieces": 4, "cpus": 2.0, "accelerators": 0.0, "ram_gb": 4.0, "kit": "img",
            "image_gb": 1.0, "builds": None, "yard": None, "same_place": False, "scatter": False,
            "borrowed": True, "expected_s": 8.0, "fold_s": 0.0, "press_s": 1.0, "due_s": None,
            "true_s": 8.0,
        }  # fmt: skip
        return body | fields

    def random_job(self) -> dict[str, Any]:
        pick = self.random
        gang = pick.random() < 0.3
        gpus = pick.choice([0.0, 0.0, 1.0])
        true_s = pick.uniform(3.0, 16.0)
        place = pick.choice(["", "", "", "", "one", "spread", "yard"])
        return self.job(
            shape="group" if gang else "sweep",
            pieces=pick.randint(1, 3) if gang else pick.randint(1, 14),
            accelerators=gpus,
            cpus=pick.choice([1.0, 2.0, 4.0]),
            crew="red" if gpus else pick.choice(["red", "blue"]),
            urgency=pick.choice(["urgent", "standard", "best_effort"]),
            builds=["g8"] if gpus else None,
            yard=self.zones[0] if place == "yard" else None,
            same_place=place == "one",
            scatter=place == "spread" and len(self.zones) > 1,
            borrowed=pick.random() < 0.6,
            fold_s=pick.choice([0.0, 5.0]),
            true_s=true_s,
            expected_s=true_s * pick.uniform(0.5, 2.0),
        )

    async def play(self, until: float, script: Any) -> None:
        """Start the controllers, run the script beside the world, and stop after a time."""
        async with anyio.create_task_group() as group:
            self.group = group
            for name in self.names:
                self.start_node(name)
            group.start_soon(script)
            end = now() + until
            while now() < end:
                await anyio.sleep(0.25)
                self.tick()
                self.cloud.snapshot()
            group.cancel_scope.cancel()
