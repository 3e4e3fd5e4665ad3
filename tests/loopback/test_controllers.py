"""Real controller processes on loopback, whose cloud, state service and workers are stand-ins."""

from __future__ import annotations

import importlib.util
import json
import os
import random
import shutil
import subprocess
import sys
import sysconfig
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

import anyio
import pytest

from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.protocol.users import parse_submission
from dapplewick.protocol.workers import parse_heartbeat
from dapplewick.transport import listen
from dapplewick.transport.http import Request, Response, serve_connection
from dapplewick.transport.listen import ConnectionAcceptor, IdleCallback
from dapplewick.transport.stream import MAX_READ_BUFFER_BYTES, accept
from standins import now
from support.paths import ROOT
from support.real_world import RealWorld, raw, until_healthy


def test_jobs_survive_a_crash_and_bad_input_is_rejected(world: RealWorld) -> None:
    async def script() -> None:
        await until_healthy(world)
        port = world.client_ports["n0"]
        assert b" 400 " in (await raw(port, b"nonsense\r\n\r\n"))[:20]
        big = b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n" + b" " * 70000
        assert b" 400 " in (await raw(port, big))[:20]
        checks = [
            ("POST", "/v2/runs", b"not json", 400),
            ("POST", "/v2/runs", b"[]", 400),
            ("GET", "/v2/runs", b"", 405),
            ("GET", "/nowhere", b"", 404),
            ("GET", "/v2/runs/run-999999", b"", 404),
            ("POST", "/v2/runs/run-999999/abort", b"", 404),
            ("POST", "/checkin", b'{"loom":3}', 400),
        ]
        for method, path, body, status in checks:
            assert (await world.call("n0", method, path, body))[0] == status, path
        array = world.job(name_id="run-000001", true_s=1.0, pieces=3)
        gang = world.job(name_id="run-000002", true_s=1.0, pieces=2, shape="group")
        cancelled_job = world.job(name_id="run-000003", true_s=60.0, pieces=2)
        async with anyio.create_task_group() as users:
            for job, cancel in ((array, None), (gang, None), (cancelled_job, 3.0)):
                users.start_soon(world.user, job["name_id"], job, cancel)
            await anyio.sleep(1.5)
            world.crash("n1")
            await anyio.sleep(0.3)
            world.start_controller("n1")
            for _ in range(500):
                await anyio.sleep(0.1)
                if [world.reported_stages.get(f"run-{n:06d}") for n in (1, 2, 3)] == [
                    "done",
                    "done",
                    "withdrawn",
                ]:
                    break
            users.cancel_scope.cancel()
        assert world.violations == []
        assert world.reported_stages == {
            "run-000001": "done",
            "run-000002": "done",
            "run-000003": "withdrawn",
        }
        assert all(p.poll() is None for p in world.processes.values())
        assert now() > 0

    anyio.run(world.run, script)


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"host_name": None}, "host_name"),
        ({"client_listen": "nowhere"}, "client_listen"),
        ({"peers": [{"host_name": "x", "zone": "a", "peer_addr": 5}]}, "peers[0].peer_addr"),
        (None, "settings"),
    ],
)
def test_bad_settings_end_the_start_with_one_line(
    change: dict[str, Any] | None, field: str, world: RealWorld
) -> None:
    path = world.files["n0"]
    value = json.loads(path.read_text())
    path.write_text("{" if change is None else json.dumps(value | change))
    process = subprocess.run(
        [sys.executable, str(ROOT / "run.py"), "--config", str(path)],
        capture_output=True,
        timeout=30,
    )
    assert process.returncode == 2
    lines = process.stderr.decode().strip().splitlines()
    assert len(lines) == 1
    assert field in lines[0]


def test_what_the_build_makes_starts_compiled_and_without_site_packages(tmp_path: Path) -> None:
    """The build compiles the program, so that a start compiles nothing.

    Where the process may not write a bytecode cache, compilation took more than half of the
    processor time of a start.
    """
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    install, _, compile_command = deploy["build"].partition("} && ")
    assert "pip install" in install
    shutil.copy(ROOT / "run.py", tmp_path / "run.py")
    shutil.copytree(ROOT / "src", tmp_path / "src")
    (tmp_path / "target").mkdir()
    os.symlink(sysconfig.get_path("purelib"), tmp_path / "target" / "deps")
    subprocess.run(
        ["sh", "-c", compile_command.replace("python3", sys.executable)], cwd=tmp_path, check=True
    )
    app_sources = tmp_path / "target" / "app" / "src" / "dapplewick"
    for source in app_sources.rglob("*.py"):
        assert Path(importlib.util.cache_from_source(str(source))).exists(), source
        source.write_text("raise SystemExit('this was compiled at the start')")
    command = deploy["run"].split()
    assert command[:2] == ["python3", "-S"]
    process = subprocess.run(
        [sys.executable, *command[1:], "nowhere.json"], cwd=tmp_path, capture_output=True
    )
    assert (process.returncode, process.stderr.decode()) == (
        2,
        "dapplewick: settings: nowhere.json: No such file or directory\n",
    )


def accept_failing_twice() -> Callable[[anyio.abc.SocketListener], Awaitable[Any]]:
    """Return an `accept` that fails twice before it succeeds."""
    failures = [OSError(24, "no sockets"), OSError(104, "reset")]

    async def flaky_accept(inner: anyio.abc.SocketListener) -> Any:
        if failures:
            raise failures.pop()
        return await accept(inner)

    return flaky_accept


async def expect_success(streams: Iterable[anyio.abc.SocketStream]) -> None:
    """Check that each connection receives a response with status 200."""
    for stream in streams:
        assert b" 200 " in await stream.receive()


def test_a_full_listener_closes_idle_connections_and_survives_failed_accepts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A listener at its connection limit closes idle connections to make room for new ones.

    An `accept` that failed because the process had no free sockets ended the listener, and with it
    the process.
    """
    request_format = b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n"

    async def main() -> None:
        release = anyio.Event()

        async def handle(request: Request) -> Response:
            if request.target == "/held":
                await release.wait()
            return Response(200)

        async def serve(stream: anyio.abc.ByteStream, on_idle: IdleCallback) -> None:
            await serve_connection(stream, handle, on_idle)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        monkeypatch.setattr(listen, "accept", accept_failing_twice())

        async def connect(path: bytes) -> anyio.abc.SocketStream:
            stream = await anyio.connect_tcp("127.0.0.1", port)
            await stream.send(request_format % path)
            return stream

        async with anyio.create_task_group() as group:
            group.start_soon(ConnectionAcceptor(4, serve).run, listener)
            with anyio.fail_after(20):
                busy = [await connect(b"/held") for _ in range(2)]
                idle = []
                for _ in range(6):
                    idle.append(await connect(b"/"))
                    assert b" 200 " in await idle[-1].receive()
                for stream in idle[:4]:
                    with pytest.raises(anyio.EndOfStream):
                        await stream.receive()
                release.set()
                await expect_success(busy)
                await idle[-1].send(request_format % b"/")
                assert b" 200 " in await idle[-1].receive()
                release = anyio.Event()
                active = [await connect(b"/held") for _ in range(4)]
                await anyio.sleep(0.1)
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await (await connect(b"/")).receive()
                release.set()
                await expect_success(active)
            group.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize("use_uvloop", [False, True])
def test_a_stream_reads_within_a_bound_and_sends_what_it_was_given(use_uvloop: bool) -> None:
    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        client = await anyio.connect_tcp(
            "127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port)
        )
        inner = listener.listeners[0]
        assert isinstance(inner, anyio.abc.SocketListener)
        stream = await accept(inner)
        size = 32 * MAX_READ_BUFFER_BYTES
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                group.start_soon(client.send, b"x" * size)
                await anyio.sleep(0.3)
                buffered = len(stream._buffer)
                assert MAX_READ_BUFFER_BYTES < buffered < 2 * MAX_READ_BUFFER_BYTES
                received_bytes = 0
                while received_bytes < size:
                    data = await stream.receive(1000)
                    assert 0 < len(data) <= 1000
                    assert set(data) == {ord("x")}
                    received_bytes += len(data)
            with anyio.move_on_after(0.1) as scope:
                await stream.receive()
            assert scope.cancelled_caught
            await client.send_eof()
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()
            await stream.send(b"y" * 5000)
            await stream.aclose()
            received_bytes = 0
            while received_bytes < 5000:
                received_bytes += len(await client.receive())
            with pytest.raises(anyio.ClosedResourceError):
                await stream.send(b"z")
            await client.aclose()
            await listener.aclose()

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


def test_random_bytes_are_no_heartbeat() -> None:
    rng = random.Random(5)
    for _ in range(300):
        random_bytes = bytes(rng.randrange(256) for _ in range(rng.randrange(60)))
        for parse in (parse_heartbeat, parse_submission):
            with pytest.raises(MalformedMessageError):
                parse(random_bytes)
