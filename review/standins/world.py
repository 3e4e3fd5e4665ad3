"""Starts the project's controllers as processes and runs the stand-ins around them."""

from __future__ import annotations

import asyncio
import ctypes
import functools
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http_io import Client, serve
from state_service import StateService
from worker import Task, Worker

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
PR_SET_PDEATHSIG = 1
BACK_AFTER_S = 3.0  # the platform starts a controller again so long after its end

BUILDS = [
    {
        "sku": "mainframe-bay",
        "cpus": 32,
        "accelerators": 0,
        "ram_gb": 128,
        "local_gb": 200,
        "fetch_gb_per_s": 4.0,
        "hourly": 2.14,
        "low_price": 0.77,
        "ready_s": 4,
    },
    {
        "sku": "lens-rack",
        "cpus": 24,
        "accelerators": 2,
        "ram_gb": 192,
        "local_gb": 200,
        "fetch_gb_per_s": 4.0,
        "hourly": 7.54,
        "low_price": 2.71,
        "ready_s": 4,
    },
]


def deployment() -> dict[str, Any]:
    """The deployment section of the settings: the first page's Adeyemi deployment."""
    teams = [("dispatch", 8, 16), ("quality", 8, 24), ("accounts", 8, 16), ("plant-ops", 8, 16)]
    return {
        "count": 3,
        "zones": ["apapa", "garki", "ikeja"],
        "teams": [
            {"name": n, "cpus": 0.0, "cpus_max": 0.0, "gpus": float(g), "gpus_max": float(m)}
            for n, g, m in [*teams, ("migration", 16, 32)]
        ],
        "objectives": [
            {"kind": "finished", "class": "route-plan", "within_s": 250.0, "share": 0.9},
            {"kind": "deadline", "class": "invoice-run", "share": 0.93, "times": 1.0},
        ],
        "workers": {
            "report_s": 2.5,
            "lease_s": 14.0,
            "gang_wait_s": 40.0,
            "gang_peer_s": 8.0,
            "cancel_s": 39.0,
        },
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 4.0, "list_lag_s": 10.0},
        "machine_limits": {"cpu_share": 0.9, "mem_mb": 266.0, "fd_limit": 1800},
        "time_bound_ms": 5.0,
    }


def job(name_id: str, **fields: Any) -> dict[str, Any]:
    """The body of a submission: an `invoice-run` of the brief, with some fields changed."""
    return {
        "name_id": name_id,
        "bundle": "invoice-run",
        "crew": "accounts",
        "shape": "sweep",
        "urgency": "standard",
        "pieces": 4,
        "cpus": 2.0,
        "accelerators": 0.0,
        "ram_gb": 4.4,
        "kit": "img-01",
        "image_gb": 1.2,
        "builds": None,
        "yard": None,
        "same_place": False,
        "scatter": False,
        "borrowed": True,
        "expected_s": 30.0,
        "fold_s": 0.0,
        "press_s": 0.0,
        "due_s": 300.0,
    } | fields


def end_with_parent() -> None:
    """In a new controller: have the system end it when the case itself is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_ports(count: int) -> list[int]:
    """Draw loopback ports on which nothing listens now.

    They are below the ports that the system gives to outgoing connections, so that none of these
    takes the port of a controller that is about to start.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class World:
    """Three controllers with their state service, cloud, workers and users.

    Attributes:
        run_times: how long a task of a job runs, by job; 3 s for others.
        boot_s: the boot time of each machine.
        capacity: how many machines the cloud has.
        long_lines: responses to workers that held a line of more than 64 KiB.
        ends: the controllers that ended by themselves or were killed for their memory.
        lost_tasks: running tasks that ended with their worker's lease.
        broken: the violations of the rule that were seen.
        on_cloud: called with the controller, the method and the path of each cloud request.
    """

    def __init__(
        self,
        record: Path,
        settings: dict[str, Any] | None = None,
        builds: list[dict[str, Any]] | None = None,
    ) -> None:
        self.deployment = settings or deployment()
        self.names = [f"loom-{n}" for n in range(self.deployment["count"])]
        self.builds: dict[str, dict[str, Any]] = {str(b["sku"]): dict(b) for b in builds or BUILDS}
        self.state = StateService(self.deployment["state"])
        self.workers: dict[str, Worker] = {}
        self.bookings: dict[str, list[str]] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_times: dict[str, float] = {}
        self.completed: set[str] = set()
        self.started: dict[str, int] = {}
        self.boot_s = 3.0
        self.capacity = 32
        self.broken: list[str] = []
        self.long_lines = 0
        self.ends: list[str] = []
        self.lost_tasks = 0
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.lists: list[tuple[float, list[Any]]] = []
        self._began_at = time.monotonic()
        self._record = record.open("w", buffering=1)
        self._folder = tempfile.TemporaryDirectory()
        count = len(self.names)
        ports = free_ports(4 * count)
        self.client_ports = dict(zip(self.names, ports, strict=False))
        self.peer_ports = dict(zip(self.names, ports[count:], strict=False))
        self.state_ports = dict(zip(self.names, ports[2 * count :], strict=False))
        self.cloud_ports = dict(zip(self.names, ports[3 * count :], strict=True))
        self.on_cloud: Callable[[str, str, str], None] | None = None

    # The record

    def log(self, event: str, **fields: Any) -> None:
        """Write a line of the record: the time since the start, what happened, and details."""
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self._record.write(f"{time.monotonic() - self._began_at:8.3f} {event} {text}\n")

    def break_rule(self, text: str) -> None:
        """Record that the rule was broken."""
        self.broken.append(text)
        self.log("RULE BROKEN", what=text)

    def record_refused_report(self, machine: str, controller: str, status: int) -> None:
        """Record a report that was not answered with 200."""
        self.log("report refused", machine=machine, controller=controller, status=status)

    def record_long_line(self, machine: str, controller: str, length: int, orders: int) -> None:
        """Record a response whose line is too long for the protocol; the worker drops it."""
        self.long_lines += 1
        self.log("long line", machine=machine, controller=controller, bytes=length, orders=orders)

    # What workers tell

    def run_s(self, name: str) -> float:
        """How long a task runs."""
        return self.run_times.get(name.rpartition("/")[0], 3.0)

    def gang_complete(self, name: str, attempt: int) -> bool:
        """Whether all tasks of a gang's attempt have their image."""
        job_id = name.rpartition("/")[0]
        ready = {
            n
            for w in self.workers.values()
            for n, t in w.tasks.items()
            if n.rpartition("/")[0] == job_id
            and t.attempt == attempt
            and (t.stage in ("gathering", "running") or t.cause == "done")
        }
        return len(ready) == self.jobs[job_id]["pieces"]

    def on_start(self, worker: Worker, name: str, task: Task) -> None:
        """A task is on its machine from now on."""
        self.started[name] = self.started.get(name, 0) + 1
        self.log("start", piece=name, attempt=task.attempt, machine=worker.name)

    def on_end(self, worker: Worker, name: str, task: Task) -> None:
        """A task has ended."""
        if task.cause == "done":
            self.completed.add(name)
        self.log("end", piece=name, machine=worker.name, cause=task.cause)

    def record_lease_end(self, worker: Worker) -> None:
        """A worker's lease has ended, which kills its tasks."""
        running = sum(t.stage == "running" for t in worker.tasks.values())
        self.lost_tasks += running
        self.log("lease expired", machine=worker.name, running_tasks=running)

    # The cloud

    async def _cloud(self, name: str, method: str, target: str, body: bytes) -> tuple[int, Any]:
        url = urlsplit(target)
        if self.on_cloud is not None:
            self.on_cloud(name, method, url.path)
        value = json.loads(body) if body else {}
        if url.path == "/catalog":
            zones = self.deployment["zones"]
            return 200, {"builds": [{"yards": zones} | b for b in self.builds.values()]}
        if url.path == "/hosts" and method == "POST":
            if value["booking"] not in self.bookings:
                room = self.capacity - sum(not w.gone for w in self.workers.values())
                if room <= 0:
                    return 503, {"error": "no capacity"}
                names = []
                for _ in range(min(room, value["how_many"])):
                    name = f"vm-{len(self.workers) + 1:06d}"
                    worker = Worker(self, name, value["build"], value["yard"], value["borrowed"])
                    self.workers[name] = worker
                    worker.start(self.boot_s)
                    names.append(name)
                self.bookings[value["booking"]] = names
                self.log("rented", **value, looms=names)
            return 200, {"looms": self.bookings[value["booking"]]}
        if url.path == "/hosts/delete":
            for name in value["looms"]:
                if name in self.workers and not self.workers[name].gone:
                    self.log("deleted", machine=name, tasks=len(self.workers[name].tasks))
                    self.workers[name].remove()
            return 200, {}
        query = parse_qs(url.query)
        since, limit = query.get("since", [""])[0], int(query.get("limit", ["500"])[0])
        lag_s = self.deployment["cloud"]["list_lag_s"]
        listed = [m for at, m in self.lists if at <= time.monotonic() - lag_s] or [[]]
        after = [m for m in listed[-1] if m["name_id"] > since]
        return 200, {"looms": after[:limit], "more": len(after) > limit}

    async def _list_loop(self) -> None:
        while True:
            now = time.monotonic()
            machines = [
                {
                    "name_id": w.name,
                    "endpoint": "127.0.0.1:9",
                    "build": w.build,
                    "yard": w.yard,
                    "borrowed": w.borrowed,
                    "stage": "running" if w.up else "booting",
                    "held_s": now - w.rented_at,
                }
                for w in self.workers.values()
                if not w.gone
            ]
            self.lists.append((now, machines))
            await asyncio.sleep(1.0)

    # Controllers

    def write_settings(self, name: str, deployment_settings: dict[str, Any] | None = None) -> Path:
        """Write the settings file of a controller."""
        zones = self.deployment["zones"]
        value = {
            "host_name": name,
            "zone": zones[self.names.index(name) % len(zones)],
            "client_listen": f"127.0.0.1:{self.client_ports[name]}",
            "peer_listen": f"127.0.0.1:{self.peer_ports[name]}",
            "peers": [
                {
                    "host_name": o,
                    "zone": zones[self.names.index(o) % len(zones)],
                    "peer_addr": f"127.0.0.1:{self.peer_ports[o]}",
                }
                for o in self.names
                if o != name
            ],
            "outside": {
                "cloud": f"127.0.0.1:{self.cloud_ports[name]}",
                "state": f"127.0.0.1:{self.state_ports[name]}",
            },
            "deployment": deployment_settings or self.deployment,
        }
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(value))
        return path

    def start_controller(
        self, name: str, deployment_settings: dict[str, Any] | None = None
    ) -> None:
        """Start a controller with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        settings = self.write_settings(name, deployment_settings)
        log = open(Path(self._folder.name) / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            [*shlex.split(command), str(settings)],
            cwd=ROOT,
            stderr=log,
            env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            preexec_fn=end_with_parent,
        )
        log.close()
        self.log("controller started", controller=name)

    def controller_log(self, name: str) -> str:
        """What a controller has logged."""
        return (Path(self._folder.name) / f"{name}.log").read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a controller."""
        self.log("signal", controller=name, signal=number.name)
        self.processes[name].send_signal(number)

    def memory_mb(self, name: str) -> float:
        """The resident memory of a controller; 0 once it has ended."""
        try:
            status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0.0
        found = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(found[0].split()[1]) / 1024 if found else 0.0

    async def _platform_loop(self) -> None:
        """Kill a controller over its memory, and start ended controllers again after a while."""
        limit_mb = self.deployment["machine_limits"]["mem_mb"]
        back_at: dict[str, float] = {}
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for name, process in list(self.processes.items()):
                if name in back_at:
                    if now >= back_at[name]:
                        del back_at[name]
                        self.start_controller(name)
                    continue
                memory_mb = self.memory_mb(name)
                if memory_mb > limit_mb:
                    process.kill()
                    process.wait()
                    self.ends.append(f"{name} for memory")
                    self.log("killed for memory", controller=name, mb=round(memory_mb))
                    back_at[name] = now + BACK_AFTER_S
                elif process.poll() is not None:
                    self.ends.append(f"{name} by itself")
                    self.log("ended by itself", controller=name, code=process.returncode)
                    back_at[name] = now + BACK_AFTER_S

    async def until_healthy(self, within_s: float = 20.0) -> bool:
        """Wait until all controllers are healthy."""
        until = time.monotonic() + within_s
        for name in self.names:
            while (await self.ask(name, "GET", "/healthz", quiet=True))[0] != 200:
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.2)
        return True

    # Users

    async def ask(
        self,
        name: str,
        method: str,
        path: str,
        value: Any = None,
        *,
        quiet: bool = False,
        within_s: float = 5.0,
    ) -> tuple[int, Any]:
        """Send a user's request to a controller over a new connection."""
        client = Client(self.client_ports[name])
        status, answer, _ = await client.request(method, path, value, within_s)
        client.close()
        if not quiet:
            self.log(
                "asked",
                controller=name,
                request=f"{method} {path}",
                job=(value or {}).get("name_id"),
                status=status,
                answer=answer,
            )
        return status, answer

    async def submit(self, name: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Submit a job to a controller."""
        self.jobs.setdefault(body["name_id"], body)
        return await self.ask(name, "POST", "/v2/runs", body)

    async def submit_until_accepted(
        self, names: list[str], body: dict[str, Any], within_s: float = 60.0
    ) -> bool:
        """Submit a job as a user does: retried after 1 s for up to 60 s."""
        until = time.monotonic() + within_s
        turn = 0
        while time.monotonic() < until:
            status, _ = await self.submit(names[turn % len(names)], body)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            turn += 1
            await asyncio.sleep(1.0)
        return False

    # A run

    async def run(self, script: Callable[[World], Awaitable[int]]) -> int:
        """Start everything, run the script of a case, and end all processes."""
        servers = []
        for name, port in self.cloud_ports.items():
            servers.append(await serve(port, functools.partial(self._cloud, name)))
        for name, port in self.state_ports.items():
            servers.append(await serve(port, functools.partial(self.state.answer, name)))
        loops = [asyncio.create_task(self.state.run()), asyncio.create_task(self._list_loop())]
        platform = None
        try:
            for name in self.names:
                self.start_controller(name)
            platform = asyncio.create_task(self._platform_loop())
            if not await self.until_healthy():
                self.log("NOT RUN", why="the controllers did not become healthy")
                return NOT_RUN
            return await script(self)
        finally:
            for loop in [*loops, platform]:
                if loop is not None:
                    loop.cancel()
            for worker in self.workers.values():
                worker.remove()
            for process in self.processes.values():
                process.kill()
                process.wait()
            for server in servers:
                server.close()
            if os.environ.get("KEEP_LOGS"):
                for name in self.names:
                    Path(f"{os.environ['KEEP_LOGS']}-{name}.log").write_text(
                        self.controller_log(name)
                    )
            self._folder.cleanup()


def trouble() -> bool:
    """Whether the case plays its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(
    script: Callable[[World], Awaitable[int]],
    settings: dict[str, Any] | None = None,
    builds: list[dict[str, Any]] | None = None,
) -> None:
    """Run a case and exit with its result: 0 the rule held, 1 it was broken, 2 not run."""
    world = World(Path(sys.argv[1]) / "record.txt", settings, builds)
    world.log("case begins", trouble=trouble())

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(116.0):
            return await world.run(script)

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as err:  # noqa: BLE001 - the case, not the project
        world.log("NOT RUN", why=repr(err))
        code = NOT_RUN
    world.log("exit", code=code, broken=world.broken)
    sys.exit(code)
