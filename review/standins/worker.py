"""Stand-in for the worker of a machine, as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from http_io import MAX_LINE, Client

if TYPE_CHECKING:
    from world import World

REPORT_TIMEOUT_S = 4.0


@dataclass
class Task:
    """An attempt of a task on the machine."""

    attempt: int
    stage: str
    until: float = 0.0
    cause: str = ""
    saved: bool = False


class Worker:
    """One worker: reports to the controllers and runs the tasks that they start."""

    def __init__(self, world: World, name: str, build: str, yard: str, borrowed: bool) -> None:
        self.world, self.name, self.build, self.yard = world, name, build, yard
        self.borrowed = borrowed
        self.rented_at = time.monotonic()
        self.up = False
        self.gone = False
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[str, Task] = {}
        self.images: dict[str, float] = {}
        self.renewed_at = 0.0
        self.changed = False
        self._raised_at = 0.0
        self._runner: asyncio.Task[None] | None = None

    def start(self, boot_s: float) -> None:
        """Boot the machine."""
        self._runner = asyncio.create_task(self._run(boot_s))

    def remove(self) -> None:
        """Take the machine away with all that is on it."""
        self.gone = True
        self.tasks.clear()
        if self._runner is not None:
            self._runner.cancel()

    async def _run(self, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        self.up = True
        self.renewed_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._report_loop())
            group.create_task(self._task_loop())

    async def _report_loop(self) -> None:
        names = list(self.world.names)
        target = random.choice(names)
        clients = {n: Client(self.world.client_ports[n]) for n in names}
        report_s = self.world.deployment["workers"]["report_s"]
        sent_at = -1e9
        while True:
            due_at = sent_at + report_s * random.uniform(0.75, 1.25)
            while time.monotonic() < due_at and not (
                self.changed and time.monotonic() > sent_at + 0.5
            ):
                await asyncio.sleep(0.02)
            self.changed = False
            sent_at = time.monotonic()
            shift = self.shift
            self.tally += 1
            status, value, raw = await clients[target].request(
                "POST", "/checkin", self.report(), REPORT_TIMEOUT_S
            )
            longest = max((len(line) for line in raw.split(b"\n")), default=0)
            if longest > MAX_LINE:
                self.world.record_long_line(self.name, target, longest, len(value["orders"]))
                status = 0
                clients[target].close()
            after = names[(names.index(target) + 1) % len(names)]
            if status == 200:
                self._obey(shift, sent_at, value)
                continue
            clients[target].close()
            if status == 421 and value.get("foreman") in names and value["foreman"] != target:
                target = value["foreman"]
                await asyncio.sleep(random.random() * 0.5)
            else:
                self.world.record_refused_report(self.name, target, status)
                target = after
                await asyncio.sleep(1.0)
            sent_at = -1e9

    def report(self) -> dict[str, Any]:
        """The worker's report."""
        pieces = []
        for name, task in self.tasks.items():
            piece: dict[str, Any] = {"piece": name, "try": task.attempt, "stage": task.stage}
            if task.stage == "exited":
                piece |= {"cause": task.cause}
                if task.saved:
                    piece |= {"saved": True}
            pieces.append(piece)
        return {
            "loom": self.name,
            "endpoint": "127.0.0.1:9",
            "build": self.build,
            "yard": self.yard,
            "borrowed": self.borrowed,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "recall_s": None,
            "pieces": pieces,
        }

    def _obey(self, shift: int, sent_at: float, value: Any) -> None:
        baton = value.get("baton")
        if shift != self.shift or baton is None or baton < self.baton:
            return
        now = time.monotonic()
        if baton > self.baton:
            self.baton = baton
            if now - self._raised_at > self.world.deployment["workers"]["lease_s"] / 2:
                self._raised_at = now
                self.changed = True
        self.renewed_at = sent_at
        for order in value.get("orders", []):
            self._execute(order)

    def _execute(self, order: Any) -> None:
        name, attempt, verb = order["piece"], order["try"], order["verb"]
        task = self.tasks.get(name)
        if verb == "launch":
            if task is None or task.attempt != attempt:
                self._launch(name, attempt, task)
        elif task is None or task.attempt != attempt:
            return
        elif verb == "kill" and task.stage != "exited":
            self._exit(name, task, "halted")
        elif verb == "forget" and task.stage == "exited":
            del self.tasks[name]

    def _launch(self, name: str, attempt: int, old: Task | None) -> None:
        self.changed = True
        job = self.world.jobs.get(name.rpartition("/")[0])
        if old is not None and old.stage != "exited":
            self.world.log("refused in_use", machine=self.name, piece=name)
            return
        task = self.tasks[name] = Task(attempt, "fetching")
        if job is None:
            task.stage, task.cause = "exited", "no_such"
            return
        build = self.world.builds[self.build]
        for field in ("cpus", "accelerators", "ram_gb"):
            used = sum(
                self.world.jobs[n.rpartition("/")[0]][field]
                for n, t in self.tasks.items()
                if t.stage != "exited"
            )
            if used > build[field] + 1e-6:
                task.stage, task.cause = "exited", "full"
                return
        ready_at = self.images.setdefault(
            job["kit"], time.monotonic() + job["image_gb"] / build["fetch_gb_per_s"]
        )
        task.until = ready_at

    def _exit(self, name: str, task: Task, cause: str) -> None:
        task.stage, task.cause = "exited", cause
        self.changed = True
        self.world.on_end(self, name, task)

    async def _task_loop(self) -> None:
        lease_s = self.world.deployment["workers"]["lease_s"]
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self.renewed_at > lease_s:
                self.world.record_lease_end(self)
                self.tasks.clear()
                self.images.clear()
                self.shift += 1
                self.renewed_at = now
                self.changed = True
                continue
            for name, task in list(self.tasks.items()):
                if task.stage == "fetching" and now >= task.until:
                    self._begin(name, task, now)
                elif task.stage == "gathering":
                    if self.world.gang_complete(name, task.attempt):
                        self._run_task(name, task, now)
                elif task.stage == "running" and now >= task.until:
                    self._exit(name, task, "done")

    def _begin(self, name: str, task: Task, now: float) -> None:
        self.world.on_start(self, name, task)
        if name in self.world.completed:
            self._exit(name, task, "done")
        elif self.world.jobs[name.rpartition("/")[0]]["shape"] == "group":
            task.stage = "gathering"
            self.changed = True
        else:
            self._run_task(name, task, now)

    def _run_task(self, name: str, task: Task, now: float) -> None:
        task.stage = "running"
        task.until = now + self.world.run_s(name)
        self.changed = True
