"""A deployment of real controllers for soak runs, with fault injection.

Controllers are processes of `run.py`. The stand-ins for users, workers, the cloud and the state
service run in this process, in real time. All connections are on loopback: a relay for each
direction between two controllers, and a port of the state service and of the cloud for each
controller, so that each connection can be interrupted separately.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio

from dapplewick.transport.http import Request, Response, serve_connection
from dapplewick.transport.http_client import HttpError
from standins import Worker, deployment, now
from standins.network import Wire
from support.paths import ROOT
from support.real_world import RealWorld
from support.relay import Relay

# Below the kernel's ephemeral ports, so that no connection takes the port of a controller that is
# being restarted.
PORTS = range(12_000, 32_000)
TICK_S = 0.25
SLOW_CHECK_INTERVAL_S = 2.0  # interval of the checks that scan all jobs and machines
WATCH_TIMEOUT_S = 70.0  # watches are answered within 60 s
REQUEST_TIMEOUT_S = 15.0  # longer than the time-out of the client
TEAMS: list[dict[str, Any]] = [
    {"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 2.0, "gpus_max": 5.0},
    {"name": "blue", "cpus": 0.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0},
    {"name": "amber", "cpus": 8.0, "cpus_max": 32.0, "gpus": 0.0, "gpus_max": 0.0},
    {"name": "green", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
]
OBJECTIVES = [
    {"kind": "wait", "class": "route", "within_s": 20.0, "share": 0.9},
    {"kind": "finished", "class": "route", "within_s": 60.0, "share": 0.9},
    {"kind": "deadline", "class": "scan", "share": 0.9, "times": 1.0},
]


def reserve_ports(rng: random.Random, count: int) -> list[int]:
    """Draw free ports: none accepts connections now."""
    ports: list[int] = []
    while len(ports) < count:
        port = rng.choice(PORTS)
        with socket.socket() as probe:
            if port not in ports and probe.connect_ex(("127.0.0.1", port)) != 0:
                ports.append(port)
    return ports


class SoakWorld(RealWorld):
    """Real controllers, with stand-ins that record violations.

    Attributes:
        relays: the relay for each (sender, target) pair of controllers.
        program: command that starts a controller, without arguments.
        log_level: log level of the controllers.
    """

    def __init__(self, folder: Path, seed: int, count: int = 3) -> None:
        super().__init__(folder, count)
        self.random = random.Random(f"world {seed}")
        self.teams = TEAMS
        self.program = [sys.executable, str(ROOT / "run.py")]
        self.log_level = "info"
        self.relays: dict[tuple[str, str], Relay] = {}
        self._logs: list[Any] = []
        self._waiting_checked_at = 0.0
        # From the system's random numbers, since runs of the same seed may run concurrently.
        ports = reserve_ports(random.SystemRandom(), 2 * count)
        self.client_ports = dict(zip(self.names, ports[:count], strict=True))
        self.peer_ports = dict(zip(self.names, ports[count:], strict=True))

    # Processes

    def start_controller(self, name: str) -> None:
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            return  # already restarted after another fault
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115 - kept until the run ends
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            [*self.program, "--config", str(self.files[name])],
            env=os.environ | {"LOG_LEVEL": self.log_level},
            stderr=log,
        )

    async def pause(self, name: str, duration_s: float) -> None:
        """Stop a process with SIGSTOP; resume it with SIGCONT, unless it has ended meanwhile."""
        process = self.processes[name]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
        try:
            await anyio.sleep(duration_s)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)

    def kill_all(self) -> None:
        super().kill_all()
        for log in self._logs:
            log.close()
        self._logs.clear()

    # Connections

    def relays_of(self, name: str) -> list[Relay]:
        """The relays between a controller and its peers, in both directions."""
        return [relay for pair, relay in self.relays.items() if name in pair]

    async def open_relays(self, group: anyio.abc.TaskGroup) -> None:
        """Open all relays and service ports, and write the settings that name them."""
        for sender in self.names:
            for target in self.names:
                if sender != target:
                    relay = self.relays[sender, target] = Relay(self.peer_ports[target])
                    await relay.open()
                    group.start_soon(relay.run)
        for name in self.names:
            state_port = await self._open_service(group, name, self.state)
            cloud_port = await self._open_service(group, name, self.cloud)
            peer_ports = {o: self.relays[name, o].port for o in self.names if o != name}
            settings = deployment(self.count, self.zones) | {
                "teams": TEAMS,
                "objectives": OBJECTIVES,
            }
            self.write_settings(settings, peer_ports, state_port, cloud_port, [name])

    async def _open_service(self, group: anyio.abc.TaskGroup, name: str, service: Any) -> int:
        """Serve the state service or the cloud to one controller; returns the port."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port: int = listener.extra(anyio.abc.SocketAttribute.local_port)
        wire = Wire(self, name, service)

        async def handle(request: Request) -> Response:
            timeout_s = WATCH_TIMEOUT_S if "/changes" in request.target else REQUEST_TIMEOUT_S
            try:
                answer = await wire.request(request.method, request.target, request.body, timeout_s)
            except HttpError:
                await anyio.sleep(REQUEST_TIMEOUT_S)
                return Response(503)
            return Response(*answer)

        group.start_soon(listener.serve, lambda stream: serve_connection(stream, handle))
        return port

    async def to_controller(
        self, name: str, request: Request, worker: Any = None
    ) -> Response | None:
        """Send a request of a worker or a user, subject to the faults that are active."""
        if isinstance(worker, Worker) and (worker.cut or name in self.cut_workers):
            await anyio.sleep(10.0)
            return None
        if worker is not None and self.random.random() < self.late_copy_fraction:
            self.group.start_soon(self._late_copy, request)
        status, answer_body = await self.call(name, request.method, request.target, request.body)
        if isinstance(worker, Worker) and worker.answers_lost:
            await anyio.sleep(10.0)
            return None
        if not status:
            return None
        # The client drops the Retry-After header; the simulations check that a 503 has it.
        retry_after = 1 if status == 503 else None
        return Response(status, json.dumps(answer_body).encode(), retry_after)

    async def _late_copy(self, request: Request) -> None:
        await anyio.sleep(self.random.choice([2.0, 6.0, 16.0]))
        self.late_copies_delivered += 1
        await self.call(
            self.random.choice(self.names), request.method, request.target, request.body
        )

    async def ask(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        """Send a user's request to a random controller and check the answer."""
        return await self.ask_controller(
            self.random.choice(self.names), Request(method, path, body, False)
        )

    # Time

    def tick(self) -> None:
        for worker in list(self.workers.values()):
            worker.tick()
        self.rules.check_cancelled()
        if (
            self.faults_ended_at is not None
            and now() - self._waiting_checked_at > SLOW_CHECK_INTERVAL_S
        ):
            self._waiting_checked_at = now()
            self.rules.check_waiting()

    async def run(self, script: Any) -> None:
        """Start all controllers and stand-ins, run a script, and stop them."""
        async with anyio.create_task_group() as group:
            self.group = group
            await self.open_relays(group)
            group.start_soon(self._tick_periodically)
            try:
                for name in self.names:
                    self.start_controller(name)
                await script()
            finally:
                self.kill_all()
                group.cancel_scope.cancel()

    async def _tick_periodically(self) -> None:
        listed_at = 0.0
        while True:
            await anyio.sleep(TICK_S)
            self.tick()
            if now() - listed_at > SLOW_CHECK_INTERVAL_S / 2:
                listed_at = now()
                self.cloud.snapshot()
