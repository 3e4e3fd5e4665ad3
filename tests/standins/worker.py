"""Stand-in for the worker process on a machine."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import anyio

from dapplewick.transport.http import Request, Response
from standins.deployment import TYPES, WORKERS
from standins.virtual_time import now

if TYPE_CHECKING:
    from standins.world import World


class TaskRun:
    """One attempt of a task on a machine."""

    def __init__(self, attempt: int) -> None:
        self.attempt = attempt
        self.stage = "fetching"
        self.cause: str | None = None
        self.saved = False
        self.stage_ends_at = 0.0


class Worker:
    """The worker of one machine, with the tasks on it."""

    def __init__(self, world: World, name: str, type_: str, zone: str, spot: bool) -> None:
        self.world = world
        self.name = name
        self.type = type_
        self.zone = zone
        self.spot = spot
        self.created_at = now()
        self.incarnation = 1
        self.sequence = 0
        self.token = 0
        self.spot_notice_s: float | None = None
        self.tasks: dict[str, TaskRun] = {}
        self.images: set[str] = set()
        self.lease_renewed_at = now()
        self.changed = True
        self.send_at_once = False  # the last heartbeat failed or was redirected
        self.hanging = False
        self.cut = False
        self.answers_lost = False  # its heartbeats arrive, but it receives no answers
        self.removed = False

    async def run(self) -> None:
        await anyio.sleep(self.world.random.uniform(*self.world.boot_s))
        self.lease_renewed_at = now()
        target, last_sent_at = self.world.random.choice(sorted(self.world.names)), -1e9
        while not self.removed:
            due_at = last_sent_at + WORKERS["report_s"] * (0.75 + 0.5 * self.world.random.random())
            if self.send_at_once:
                due_at = now()  # `_send_heartbeat` has already waited for the back-off
            while (
                not self.removed
                and now() < due_at
                and not (self.changed and now() > last_sent_at + 0.5)
            ):
                await anyio.sleep(0.1)
            while self.hanging and not self.removed:
                await anyio.sleep(0.1)
            if self.removed:
                return
            self.changed = False
            last_sent_at = now()
            target = await self._send_heartbeat(target)

    async def _send_heartbeat(self, target: str) -> str:
        self.sequence += 1
        incarnation, sent_at = self.incarnation, now()
        body = {
            "loom": self.name,
            "endpoint": "",
            "build": self.type,
            "yard": self.zone,
            "borrowed": self.spot,
            "shift": incarnation,
            "tally": self.sequence,
            "baton": self.token,
            "recall_s": self.spot_notice_s,
            "pieces": [
                {"piece": n, "try": p.attempt, "stage": p.stage}
                | ({"cause": p.cause, "saved": p.saved} if p.cause else {})
                for n, p in self.tasks.items()
            ],
        }
        raw = json.dumps(body).encode()
        answer: Response | None = None
        with anyio.move_on_after(4.0):
            answer = await self.world.to_controller(
                target, Request("POST", "/checkin", raw, False), self
            )
        self.send_at_once = answer is None or answer.status != 200
        names = sorted(self.world.names)
        next_target = names[(names.index(target) + 1) % len(names)]
        if answer is None or answer.status not in (200, 421):
            await anyio.sleep(1.0)
            return next_target
        response = json.loads(answer.body)
        if answer.status == 421:
            owner: str | None = response.get("foreman")
            if owner is not None and owner in names and owner != target:
                await anyio.sleep(self.world.random.random() * 0.5)
                return owner
            await anyio.sleep(1.0)
            return next_target
        if incarnation != self.incarnation or response["baton"] < self.token or self.removed:
            return target
        if response["baton"] > self.token:
            self.token = response["baton"]
            self.changed = True
        self.lease_renewed_at = sent_at
        for command in response["orders"]:
            self.execute(command)
        return target

    def execute(self, command: dict[str, Any]) -> None:
        name, attempt, verb = command["piece"], command["try"], command["verb"]
        task = self.tasks.get(name)
        if verb == "launch":
            if task is not None and task.attempt == attempt:
                return
            if (name, attempt) in self.world.launched:
                gang = self.world.jobs[name.split("/")[0]]["shape"] == "group"
                assert gang, f"attempt {attempt} of {name} was repeated"
            self.world.launched.add((name, attempt))
            if task is not None and task.stage != "exited":
                self.world.violations.append(f"in_use {name}")
                return
            new = self.tasks[name] = TaskRun(attempt)
            job = self.world.jobs[name.split("/")[0]]
            new.stage_ends_at = now() + (0.0 if job["kit"] in self.images else 1.0)
            used = [
                self.world.jobs[n.split("/")[0]]
                for n, p in self.tasks.items()
                if p.stage != "exited"
            ]
            machine_type = next(t for t in TYPES if t["sku"] == self.type)
            for field in ("cpus", "accelerators", "ram_gb"):
                if sum(j[field] for j in used) > machine_type[field] + 1e-6:  # type: ignore[operator]
                    new.stage, new.cause = "exited", "full"
        elif verb == "kill" and task is not None and task.attempt == attempt:
            if task.stage != "exited":
                task.stage, task.cause = "exited", "halted"
        elif verb == "forget" and task is not None and task.attempt == attempt:
            assert task.stage == "exited", name
            del self.tasks[name]
        self.changed = True

    def tick(self) -> None:
        if self.hanging:
            return
        if now() - self.lease_renewed_at > WORKERS["lease_s"]:
            self.tasks.clear()
            self.incarnation += 1
            self.lease_renewed_at = now()
            self.changed = True
            return
        for name, task in list(self.tasks.items()):
            self._advance(name, task)

    def _advance(self, name: str, task: TaskRun) -> None:
        job_id = name.split("/")[0]
        job = self.world.jobs[job_id]
        if task.stage == "fetching" and now() >= task.stage_ends_at:
            self.images.add(job["kit"])
            self.world.rules.check_start(self, name)
            task.stage = "gathering" if job["shape"] == "group" else "running"
            task.stage_ends_at = now() + self.world.run_time(name)
            if name in self.world.completed_tasks:
                task.stage, task.cause = "exited", "done"
            self.changed = True
        elif task.stage == "gathering":
            self._advance_gathering(job_id, job, task)
        elif task.stage == "running" and job["shape"] == "daemon":
            self._advance_replica(name, task)
        elif task.stage == "running" and now() >= task.stage_ends_at:
            if job["shape"] == "group" and not self.world.gang_is_complete(job_id, task.attempt):
                task.stage, task.cause = "exited", "peers"
            else:
                task.stage, task.cause = "exited", "done"
                self.world.completed_tasks.add(name)
                if job["shape"] == "group":
                    self.world.complete_gang(job_id, task.attempt)
            self.changed = True
        elif (
            task.stage == "running"
            and job["shape"] == "group"
            and not self.world.gang_is_complete(job_id, task.attempt)
        ):
            task.stage, task.cause = "exited", "peers"
            self.changed = True

    def _advance_replica(self, name: str, task: TaskRun) -> None:
        """Advance a replica: it runs until stopped, or exits at rate `World.replica_ends`."""
        self.world.replica_run_s[name] = self.world.replica_run_s.get(name, 0.0) + 0.25
        if self.world.random.random() < self.world.replica_ends * 0.25:
            task.stage = "exited"
            task.cause = self.world.random.choice(["done", "error", "full"])
            self.changed = True

    def _advance_gathering(self, job_id: str, job: dict[str, Any], task: TaskRun) -> None:
        if self.world.gang_is_complete(job_id, task.attempt):
            task.stage = "running"
            task.stage_ends_at = now() + job["true_s"]
            self.changed = True
        elif now() > task.stage_ends_at - job["true_s"] + WORKERS["gang_wait_s"]:
            task.stage, task.cause = "exited", "alone"
            self.changed = True
