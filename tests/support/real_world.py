"""Runs controllers as processes on loopback, with the stand-ins behind sockets in real time."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio

from dapplewick.transport.http import Request, Response, serve_connection
from dapplewick.transport.http_client import HttpClient, HttpError
from standins import World, deployment, zone_of
from support.paths import ROOT


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class RealWorld(World):
    """The stand-ins in real time; controllers are processes that are reached over HTTP."""

    def __init__(self, folder: Path, count: int = 2) -> None:
        super().__init__(1, count)
        ports = free_ports(2 * count + 2)
        self.state_port, self.cloud_port = ports[:2]
        self.client_ports = dict(zip(self.names, ports[2 : 2 + count], strict=True))
        self.peer_ports = dict(zip(self.names, ports[2 + count :], strict=True))
        self.folder = folder
        self.options: list[str] = []  # arguments of run.py before --config
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.files: dict[str, Path] = {}
        self.write_settings(deployment(count), self.peer_ports, self.state_port, self.cloud_port)

    def write_settings(
        self,
        deployment_settings: dict[str, Any],
        peer_ports: dict[str, int],
        state_port: int,
        cloud_port: int,
        names: list[str] | None = None,
    ) -> None:
        """Write the settings files of the named controllers, or of all, with these ports."""
        for name in names or self.names:
            value = {
                "host_name": name,
                "zone": zone_of(name, self.zones),
                "client_listen": f"127.0.0.1:{self.client_ports[name]}",
                "peer_listen": f"127.0.0.1:{self.peer_ports[name]}",
                "peers": [
                    {"host_name": o, "zone": "a", "peer_addr": f"127.0.0.1:{peer_ports[o]}"}
                    for o in self.names
                    if o != name
                ],
                "outside": {
                    "cloud": f"127.0.0.1:{cloud_port}",
                    "state": f"127.0.0.1:{state_port}",
                },
                "deployment": deployment_settings,
                "a_new_field": [1, 2, 3],
            }
            self.files[name] = self.folder / f"{name}.json"
            self.files[name].write_text(json.dumps(value))

    def start_controller(self, name: str) -> None:
        environment = os.environ | {"LOG_LEVEL": "error"}
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                str(ROOT / "run.py"),
                *self.options,
                "--config",
                str(self.files[name]),
            ],
            env=environment,
        )

    def crash(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def kill_all(self) -> None:
        """Kill the processes of all controllers and wait for them."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    async def call(self, name: str, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        client = HttpClient("127.0.0.1", self.client_ports[name], max_connections=0)
        try:
            status, answer = await client.request(method, path, body or None, 4.0)
        except HttpError:
            return 0, {}
        return status, json.loads(answer)

    async def to_controller(
        self, name: str, request: Request, _worker: object = None
    ) -> Response | None:
        status, answer_body = await self.call(name, request.method, request.target, request.body)
        return Response(status, json.dumps(answer_body).encode()) if status else None

    async def ask(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        return await self.call(self.random.choice(self.names), method, path, body)

    async def serve(self, port: int, service: Any) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)

        async def handle(request: Request) -> Response:
            return Response(*await service.answer(request.method, request.target, request.body))

        await listener.serve(lambda stream: serve_connection(stream, handle))

    async def run(self, script: Any) -> None:
        async with anyio.create_task_group() as group:
            self.group = group
            group.start_soon(self.serve, self.state_port, self.state)
            group.start_soon(self.serve, self.cloud_port, self.cloud)
            await anyio.sleep(0.1)
            for name in self.names:
                self.start_controller(name)

            async def ticks() -> None:
                while True:
                    await anyio.sleep(0.1)
                    self.tick()
                    self.cloud.snapshot()

            group.start_soon(ticks)
            try:
                await script()
            finally:
                group.cancel_scope.cancel()


async def until_healthy(world: RealWorld) -> None:
    for _ in range(200):
        answers = [await world.call(n, "GET", "/healthz") for n in world.names]
        if all(status == 200 for status, _ in answers):
            return
        await anyio.sleep(0.1)
    raise AssertionError("a controller did not become healthy within about 20 s")


async def raw(port: int, data: bytes) -> bytes:
    stream = await anyio.connect_tcp("127.0.0.1", port)
    async with stream:
        await stream.send(data)
        with anyio.move_on_after(5):
            return await stream.receive()
    return b""
