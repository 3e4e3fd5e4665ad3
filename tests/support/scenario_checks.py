"""Checks of a whole scenario: at its end, or by requests during the scenario."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import Any

from dapplewick.transport.http import Request
from standins import World

BEGIN_WITHIN_S = 240.0  # maximum wait until the largest jobs of a class start
# Maximum delay of a start after its cancellation was confirmed: an owner that can't read the
# records stops sending starts after 9 s, and fetching the image takes the rest.
START_IN_FLIGHT_S = 12.0
ORDER = {"unknown": 0, "queued": 1, "running": 1, "done": 2, "withdrawn": 2}


def started_tasks(world: World, job_id: str) -> int:
    pieces = world.jobs[job_id]["pieces"]
    return sum(f"{job_id}/{n}" in world.first_start for n in range(pieces))


def groups_of_jobs(world: World) -> dict[tuple[str, str], list[str]]:
    """Group the accepted, not cancelled jobs by class, by team and by largest of a class."""
    groups: dict[tuple[str, str], list[str]] = defaultdict(list)
    uncancelled = [j for j in sorted(world.accepted) if j not in world.cancelled_at]
    for job_id in uncancelled:
        job = world.jobs[job_id]
        groups[("class", job["bundle"])].append(job_id)
        groups[("team", job["crew"])].append(job_id)
    for (kind, name), members in list(groups.items()):
        if kind == "class":
            max_pieces = max(world.jobs[j]["pieces"] for j in members)
            groups[("largest", name)] = [
                j for j in members if world.jobs[j]["pieces"] == max_pieces
            ]
    return groups


def final_check_failures(world: World) -> list[str]:
    """Violations that show only at the end of a scenario; other rules are checked during it."""
    violations = []
    if not world.starts:
        violations.append("nothing_ran")
    for (kind, name), jobs in groups_of_jobs(world).items():
        started = sum(started_tasks(world, j) == world.jobs[j]["pieces"] for j in jobs)
        if 2 * started < len(jobs):
            violations.append(f"served {kind} {name}")
        if kind == "largest":
            for job_id in jobs:
                started_at = world.first_start.get(f"{job_id}/0")
                if started_at is None or started_at - world.accepted_at[job_id] > BEGIN_WITHIN_S:
                    violations.append(f"late {job_id}")
    for name, delay_s in world.started_after_cancel.items():
        if delay_s > START_IN_FLIGHT_S:
            violations.append(f"started_after_cancel {name} {delay_s:.1f}")
    return violations


def ask(body: bytes | None, job_id: str, verb: str = "") -> Request:
    path = "/v2/runs" + (f"/{job_id}" if body is None else "") + (f"/{verb}" if verb else "")
    method = "GET" if body is None and not verb else "POST"
    return Request(method, path, body or b"", False)


class AnswerProbe:
    """Sends requests to controllers and records answers that are older than an earlier one."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.known: dict[str, int] = {}
        self.violations: list[str] = []
        self.answers = 0

    async def request(self, name: str, request: Request, job_id: str) -> tuple[int, Any]:
        controller = self.world.controllers.get(name)
        if controller is None or not controller.ready:
            return 0, {}
        before = self.known.get(job_id, 0)  # known when the request is sent
        answer = await controller.handle(request)
        answer_body = json.loads(answer.body)
        if answer.status == 503 and not answer.retry_after:
            self.violations.append(f"no Retry-After {job_id}")
        if answer.status in (200, 201, 404):
            stage = "unknown" if answer.status == 404 else answer_body["stage"]
            self.record_answer(job_id, before, stage)
        return answer.status, answer_body

    def record_answer(self, job_id: str, before: int, stage: str) -> None:
        """Record an answer to a request that was sent when stage rank `before` was known."""
        self.answers += 1
        if ORDER[stage] < before:
            self.violations.append(f"older_answer {job_id} {stage}")
        self.known[job_id] = max(self.known.get(job_id, 0), ORDER[stage])

    async def poll_all(self, job_id: str) -> None:
        for name in list(self.world.names):
            await self.request(name, ask(None, job_id), job_id)
