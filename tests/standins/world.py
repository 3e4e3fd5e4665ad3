"""Runs controllers, services, machines and users together in one scenario."""

from __future__ import annotations

import json
import random
from typing import Any

import anyio
import cbor2

from dapplewick import config
from dapplewick.controller.controller import Controller
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.service import PartitionService
from dapplewick.partitions.solver import Problem, Targets, solve
from dapplewick.transport import http_client
from dapplewick.transport.http import Request, Response
from standins import recorder
from standins.answers import AnswerHistory, UserRequest
from standins.cloud import Cloud
from standins.deployment import TEAMS, ZONES, settings, zone_of
from standins.network import Link, Wire
from standins.rules import RuleChecker
from standins.state_service import StateService
from standins.virtual_time import now
from standins.worker import Worker


class World:
    """A simulated cluster with its users, and the record of what happened in it.

    The rules are checked while the scenario runs; each broken rule is added to `violations`.
    """

    def __init__(self, seed: int, count: int = 3, zones: list[str] = ZONES) -> None:
        self.random = random.Random(seed)
        self.teams: list[dict[str, Any]] = TEAMS
        self.zones = zones
        self.isolated_zone = ""  # controllers and workers of this zone reach only one another
        self.names = [f"n{i}" for i in range(count)]
        self.controllers: dict[str, Controller] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.state = StateService()
        self.cloud = Cloud(self)
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.accepted: set[str] = set()
        self.reported_stages: dict[str, str] = {}
        self.cancelled_at: dict[str, float] = {}
        self.completed_tasks: set[str] = set()
        self.launched: set[tuple[str, int]] = set()
        self.starts = 0
        self.violations: list[str] = []
        self.modes: dict[tuple[str, str], str] = {}
        self.cut_peers: set[str] = set()
        self.cut_workers: set[str] = set()
        self.state_delay_factor = 1.0  # multiplies the latency of the state service
        self.lost_answers = 0.0  # fraction of transactions that are executed, but not answered
        self.boot_s = (2.0, 10.0)  # minimum and maximum boot time of a machine
        self.recorded_heartbeats: list[Request] | None = None  # None: not recorded
        self.accepted_at: dict[str, float] = {}
        self.first_start: dict[str, float] = {}  # time by task
        self.late_writes = 0.0  # fraction of transactions that time out and are executed late
        # If set, selects the late transactions, by the controller's name and the transaction, in
        # place of `late_writes`.
        self.is_late_write: Any = None
        self.writes: list[tuple[float, str, dict[str, Any]]] = []  # time, controller, transaction
        self.faults_ended_at: float | None = None  # end of the last fault; None: not yet
        # Whether the tasks of a worker that hung beyond its lease count as ended.
        self.hung_tasks_end_with_lease = False
        self.waiting_since: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.replica_run_s: dict[str, float] = {}  # by replica
        self.replica_ends = 0.0  # rate per second at which a replica exits by itself
        self.restarted_after_done: list[str] = []  # names of tasks
        self.start_counts: dict[str, int] = {}
        self.started_after_cancel: dict[str, float] = {}
        self.late_copy_fraction = 0.0  # fraction of heartbeats that are delivered again late
        self.late_copies_delivered = 0
        self.earlier_version: Any = None  # modules of an earlier version
        # Controllers that start with the earlier version.
        self.earlier_version_controllers: set[str] = set()
        self.partition_plan: PartitionPlan | None = None  # None: partitions are off
        # Controllers with partitions off in spite of a plan.
        self.without_partitions: set[str] = set()
        self.paused: set[str] = set()  # names of paused controllers
        self.held_messages: dict[str, list[Any]] = {}  # frames and requests for paused controllers
        self.group: Any = None
        self.rules = RuleChecker(self)
        self.history = AnswerHistory()
        self.count = count

    def run_time(self, name: str) -> float:
        job_id, _, index = name.rpartition("/")
        each: list[float] | None = self.jobs[job_id].get("true_each")
        return each[int(index)] if each else float(self.jobs[job_id]["true_s"])

    # Network

    def transaction_is_late(self, controller: str, body: bytes | None) -> bool:
        """Record a transaction; returns whether it times out and is executed late."""
        transaction = json.loads(body or b"{}")
        self.writes.append((now(), controller, transaction))
        if self.is_late_write is not None:
            return bool(self.is_late_write(controller, transaction))
        return self.late_writes > 0.0 and self.random.random() < self.late_writes

    def mode(self, controller: str, service: Any) -> str:
        kind = "state" if service is self.state else "cloud"
        return self.modes.get((controller, kind), "ok")

    async def to_controller(
        self, name: str, request: Request, worker: Worker | None = None
    ) -> Response | None:
        if worker is not None and (worker.cut or name in self.cut_workers):
            await anyio.sleep(10.0)
            return None
        if self.isolated_zone:
            sender_zone = worker.zone if worker is not None else "users"
            if (sender_zone == self.isolated_zone) != (
                zone_of(name, self.zones) == self.isolated_zone
            ):
                await anyio.sleep(10.0)
                return None
        await anyio.sleep(0.001 + self.random.random() * 0.004)
        controller = self.controllers.get(name)
        if name in self.paused:
            self.held_messages.setdefault(name, []).append(request)
            await anyio.sleep(10.0)
            return None
        if controller is None:
            return None
        if worker is not None and self.random.random() < self.late_copy_fraction:
            self.group.start_soon(self._late_copy, request)
        if worker is not None and self.recorded_heartbeats is not None:
            self.recorded_heartbeats.append(request)
        answer = await controller.handle(request)
        await self.wait_until_resumed(name)
        if worker is not None and worker.answers_lost:
            await anyio.sleep(10.0)
            return None
        if worker is not None and self.random.random() < 0.01:
            await anyio.sleep(10.0)  # the answer arrives after the worker's time-out
        return answer if self.controllers.get(name) is controller else None

    async def wait_until_resumed(self, name: str) -> None:
        while name in self.paused:
            await anyio.sleep(0.01)

    async def pause_controller(self, name: str, length: float) -> None:
        """Pause a controller while its clock advances.

        When it resumes, it processes the answers and messages that arrived meanwhile and sends
        what it was about to send.
        """
        controller = self.controllers.get(name)
        self.paused.add(name)
        await anyio.sleep(length)
        self.paused.discard(name)
        for item in self.held_messages.pop(name, []):
            if controller is not None and self.controllers.get(name) is controller:
                if isinstance(item, Request):
                    await controller.handle(item)
                else:
                    controller.on_message(cbor2.loads(item))

    async def _late_copy(self, request: Request) -> None:
        """Deliver a copy of a heartbeat to any controller, 0.5 s to 45 s (three leases) late."""
        await anyio.sleep(self.random.choice([1.0, 4.0, 12.0, 30.0]) * (0.5 + self.random.random()))
        controller = self.controllers.get(self.random.choice(self.names))
        if controller is not None:
            self.late_copies_delivered += 1
            await controller.handle(request)

    async def deliver(self, copies: list[Request]) -> None:
        """Deliver copies of recorded heartbeats to every controller."""
        for request in copies:
            for controller in list(self.controllers.values()):
                self.late_copies_delivered += 1
                await controller.handle(request)

    # Controllers

    def start_controller(self, name: str) -> None:
        if name in self.controllers:
            return  # already restarted after another fault; a controller runs once

        old = self.earlier_version if name in self.earlier_version_controllers else None
        errors = old.http_client if old is not None else http_client

        def connect(_: str, port: int) -> Any:
            return Wire(self, name, self.cloud if port == 2 else self.state, errors)

        def link(_: str, port: int) -> Any:
            return Link(self, name, port)

        seed = self.random.getrandbits(32)
        controller_class: Any = old.Controller if old is not None else Controller
        parse = old.config if old is not None else config
        version_arguments: Any = (
            {} if old is not None else {"partitions": self._partitions(name), "wall_time": now}
        )
        controller: Any = controller_class(
            settings(name, self.count, self.zones, parse),
            connect=connect,
            link=link,
            clock=now,
            seed=seed,
            **version_arguments,
        )
        if old is not None:
            # Attribute names of the earlier versions.
            controller.boot, controller.wall = f"{name}-{seed}", now
        else:
            controller.identity.incarnation = f"{name}-{seed}"
        recorder.watch(name, controller)
        self.controllers[name] = controller

        # Stored before the task starts, so that a crash at the same instant cancels it.
        scope = self.scopes[name] = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await controller.run_loops()

        self.group.start_soon(run)

    def _partitions(self, name: str) -> PartitionService | None:
        """A controller's partition service.

        The solver runs in the event loop, since threads don't follow virtual time.
        """
        if self.partition_plan is None or name in self.without_partitions:
            return None

        async def solve_here(problem: Problem) -> Targets | None:
            return solve(problem)

        return PartitionService(self.partition_plan, solve_here)

    def crash(self, name: str) -> None:
        self._collect_invariant_violations(name, self.controllers.pop(name, None))
        scope = self.scopes.pop(name, None)
        if scope is not None:
            scope.cancel()

    def _collect_invariant_violations(self, name: str, controller: Any) -> None:
        """Add the invariant violations that a controller counted to those of the scenario."""
        invariants = getattr(controller, "invariants", None)  # None in earlier versions
        if invariants is not None:
            self.violations += [
                f"{name} violated {invariant} {count} times"
                for invariant, count in invariants.violations.items()
            ]

    # Machines

    def new_machine(self, name: str, type_: str, zone: str, spot: bool) -> None:
        worker = self.workers[name] = Worker(self, name, type_, zone, spot)
        self.group.start_soon(worker.run)

    def remove_machine(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.removed = True
            worker.tasks.clear()

    def gang_is_complete(self, job_id: str, attempt: int) -> bool:
        gang_tasks = {
            n
            for w in self.workers.values()
            if not w.hanging
            for n, p in w.tasks.items()
            if n.split("/")[0] == job_id
            and p.attempt == attempt
            and (p.stage in ("gathering", "running") or p.cause == "done")
        }
        return bool(len(gang_tasks) == self.jobs[job_id]["pieces"])

    def complete_gang(self, job_id: str, attempt: int) -> None:
        """Complete all tasks of a gang: they complete together."""
        for worker in self.workers.values():
            for name, task in worker.tasks.items():
                if name.split("/")[0] == job_id and task.attempt == attempt:
                    task.stage, task.cause = "exited", "done"
                    worker.changed = True
                    self.completed_tasks.add(name)

    # Rules

    def on_machines(self) -> list[tuple[Worker, str]]:
        return [
            (w, n)
            for w in self.workers.values()
            for n, p in w.tasks.items()
            if p.stage not in ("exited", "fetching")
        ]

    def on_machines_or_fetching(self) -> list[tuple[Worker, str]]:
        return [
            (w, n) for w in self.workers.values() for n, p in w.tasks.items() if p.stage != "exited"
        ]

    def tick(self) -> None:
        for worker in list(self.workers.values()):
            worker.tick()
        self.rules.check_cancelled()
        if self.faults_ended_at is not None:
            self.rules.check_waiting()

    # Users

    async def ask(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        """Send a user's request to a random controller that is ready."""
        alive = [n for n in sorted(self.controllers) if self.controllers[n].ready]
        if not alive:
            return 0, {}
        request = Request(method, path, body, False)
        return await self.ask_controller(self.random.choice(alive), request)

    async def ask_controller(
        self, name: str, request: Request, within: float = 5.0
    ) -> tuple[int, Any]:
        """Send a user's request to one controller and check the answer against all earlier ones."""
        user_request = self.history.record_request(*self._job_and_verb(request))
        answer: Response | None = None
        with anyio.move_on_after(within):  # a controller that crashes sends no answer
            answer = await self.to_controller(name, request)
        if answer is None:
            return 0, {}
        return answer.status, self.check_answer(user_request, name, answer)

    def check_answer(self, user_request: UserRequest, name: str, answer: Response) -> Any:
        """Check an answer against all earlier ones; returns its decoded body."""
        answer_body = json.loads(answer.body)
        before = len(self.history.violations)
        self.history.record_answer(user_request, answer.status, answer_body)
        self.violations += [
            f"{b} by {name} at {now():.2f}" for b in self.history.violations[before:]
        ]
        if answer.status == 503 and not answer.retry_after:
            self.violations.append(f"no Retry-After from {name}")
        return answer_body

    @staticmethod
    def _job_and_verb(request: Request) -> tuple[str, str]:
        """The job ID of a request, and its verb: submit, poll or abort."""
        segments = request.target.split("/")
        if len(segments) > 3:
            return segments[3], "abort" if segments[-1] == "abort" else "poll"
        body = json.loads(request.body)
        return str(body.get("name_id", "")) if isinstance(body, dict) else "", "submit"

    async def user(self, job_id: str, body: dict[str, Any], cancel_after: float | None) -> None:
        self.jobs[job_id] = body
        raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        for _ in range(60):
            status, _said = await self.ask("POST", "/v2/runs", raw)
            if status in (200, 201):
                break
            if status in (400, 422) and job_id in self.accepted:
                self.violations.append(f"forgotten {job_id}")
            assert status not in (400, 422, 500), (status, _said)
            await anyio.sleep(1.0)
        else:
            return
        self.accepted.add(job_id)
        begun = self.accepted_at.setdefault(job_id, now())
        cancel_sent = False
        while True:
            if cancel_after is not None and now() - begun > cancel_after:
                cancel_sent = True
                status, answer_body = await self.ask("POST", f"/v2/runs/{job_id}/abort")
                if status == 200:
                    self._record_reported_stage(job_id, answer_body["stage"], True)
                    cancel_after = None
            status, answer_body = await self.ask("GET", f"/v2/runs/{job_id}")
            if status == 404:
                self.violations.append(f"forgotten {job_id}")
            if status == 200:
                self.answered_at[job_id] = now()
                self._record_reported_stage(
                    job_id, answer_body["stage"], cancel_sent or job_id in self.cancelled_at
                )
            elif self.faults_ended_at is not None and (
                now() - max(self.faults_ended_at, self.answered_at.get(job_id, 0.0)) > 75.0
            ):
                self.violations.append(f"forgotten {job_id} for 75 s")
            await anyio.sleep(3.0)

    def _record_reported_stage(self, job_id: str, stage: str, may_be_cancelled: bool) -> None:
        before = self.reported_stages.get(job_id)
        if before in ("done", "withdrawn") and stage != before:
            self.violations.append(f"went_back {job_id}")
        if stage == "done" and self.jobs[job_id]["shape"] == "daemon":
            self.violations.append(f"not_done {job_id} is a service")
        if stage == "done":
            pieces = self.jobs[job_id]["pieces"]
            if any(f"{job_id}/{i}" not in self.completed_tasks for i in range(pieces)):
                self.violations.append(f"not_done {job_id}")
        if stage == "withdrawn":
            if not may_be_cancelled:
                self.violations.append(f"went_back {job_id} was not cancelled")
            self.cancelled_at.setdefault(job_id, now())
        self.reported_stages[job_id] = stage

    def job(self, **fields: Any) -> dict[str, Any]:
        body = {
            "name_id": "",
            "bundle": "x",
            "crew": "red",
            "shape": "sweep",
            "urgency": "standard",
            "pieces": 4,
            "cpus": 2.0,
            "accelerators": 0.0,
            "ram_gb": 4.0,
            "kit": "img",
            "image_gb": 1.0,
            "builds": None,
            "yard": None,
            "same_place": False,
            "scatter": False,
            "borrowed": True,
            "expected_s": 8.0,
            "fold_s": 0.0,
            "press_s": 1.0,
            "due_s": None,
            "true_s": 8.0,
        }
        return body | fields

    def random_job(self) -> dict[str, Any]:
        rng = self.random
        gang = rng.random() < 0.3
        gpus = rng.choice([0.0, 0.0, 1.0])
        true_s = rng.uniform(3.0, 16.0)
        place = rng.choice(["", "", "", "", "one", "spread", "yard"])
        return self.job(
            shape="group" if gang else "sweep",
            pieces=rng.randint(1, 3) if gang else rng.randint(1, 14),
            accelerators=gpus,
            cpus=rng.choice([1.0, 2.0, 4.0]),
            crew="red" if gpus else rng.choice(["red", "blue"]),
            urgency=rng.choice(["urgent", "standard", "best_effort"]),
            builds=["g8"] if gpus else None,
            yard=self.zones[0] if place == "yard" else None,
            same_place=place == "one",
            scatter=place == "spread" and len(self.zones) > 1,
            borrowed=rng.random() < 0.6,
            fold_s=rng.choice([0.0, 5.0]),
            true_s=true_s,
            expected_s=true_s * rng.uniform(0.5, 2.0),
        )

    async def run_scenario(self, until: float, script: Any) -> None:
        """Start the controllers, run a script concurrently, and stop after `until` seconds."""
        async with anyio.create_task_group() as group:
            self.group = group
            for name in self.names:
                self.start_controller(name)
            group.start_soon(script)
            group.start_soon(recorder.ask_operators, self)
            end = now() + until
            while now() < end:
                await anyio.sleep(0.25)
                self.tick()
                self.cloud.snapshot()
            for name, controller in self.controllers.items():
                self._collect_invariant_violations(name, controller)
            group.cancel_scope.cancel()
