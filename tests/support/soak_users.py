"""Users of a soak run: they submit, poll and cancel jobs, and repeat requests."""

from __future__ import annotations

import json
import random
from typing import Any

import anyio

from dapplewick.transport.http import Request
from standins import now
from support.soak_world import SoakWorld

FLEET_JOB = "run-fleet"
SERVICE_JOB = "run-service"
CANCELLED_FRACTION = 0.2  # of the jobs, within 15 s of acceptance
PROBE_INTERVAL_S = 0.5
RESUBMITTED_FRACTION = 0.2  # of the probes of a job
CANCELLED_LATE_FRACTION = 0.05  # of the probes of a job that is done


def draw_jobs(seed: int, count: int, world: SoakWorld) -> list[dict[str, Any]]:
    """Draw jobs of several classes, teams and sizes, deterministically."""
    rng = random.Random(f"jobs {seed}")
    return [_draw_job(rng, f"run-{n:06d}", world) for n in range(count)]


def _draw_job(rng: random.Random, name: str, world: SoakWorld) -> dict[str, Any]:
    true_s = rng.uniform(1.0, 5.0)
    common = {"name_id": name, "true_s": true_s, "expected_s": true_s * rng.uniform(0.5, 2.0)}
    common["kit"] = rng.choice(["img-1", "img-2"])
    kind = rng.choice(["route", "merge", "scan", "batch", "batch"])
    if kind == "route":  # gangs with objectives, half of them in one zone
        fields: dict[str, Any] = {
            "shape": "group",
            "pieces": rng.choice([1, 2, 4]),
            "cpus": 4.0,
            "crew": rng.choice(["green", "amber"]),
            "urgency": "urgent",
            "same_place": rng.random() < 0.5,
        }
    elif kind == "merge":  # gangs without objectives, up to the limit of their team
        fields = {
            "shape": "group",
            "pieces": rng.choice([2, 3, 6]),
            "cpus": 4.0,
            "crew": rng.choice(["blue", "amber"]),
            "scatter": rng.random() < 0.3,
        }
    elif kind == "scan":
        fields = {
            "pieces": rng.randint(1, 4),
            "cpus": 2.0,
            "accelerators": 1.0,
            "builds": ["g8"],
            "crew": "red",
            "due_s": 60.0,
        }
    else:
        fields = {
            "pieces": rng.randint(1, 12),
            "cpus": rng.choice([1.0, 2.0]),
            "crew": rng.choice(["blue", "amber", "green"]),
            "urgency": rng.choice(["standard", "best_effort"]),
            "yard": rng.choice([None, None, "a"]),
            "borrowed": rng.random() < 0.7,
        }
    return world.job(bundle=kind, **(common | fields))


def fleet_job(world: SoakWorld, machines: int) -> dict[str, Any]:
    """An array with one task per machine, each of which fills its machine."""
    return world.job(
        name_id=FLEET_JOB,
        bundle="fleet",
        crew="green",
        pieces=machines,
        cpus=8.0,
        builds=["c8"],
        true_s=25.0,
        expected_s=25.0,
    )


def service_job(world: SoakWorld) -> dict[str, Any]:
    """A service of two replicas."""
    return world.job(
        name_id=SERVICE_JOB, bundle="portal", crew="green", shape="daemon", pieces=2, cpus=1.0
    )


class SoakUsers:
    """Submits jobs over a period, and polls them at every controller."""

    def __init__(self, world: SoakWorld, seed: int) -> None:
        self._world = world
        self._random = random.Random(f"users {seed}")

    async def submit(self, jobs: list[dict[str, Any]], over_s: float) -> None:
        """Submit jobs evenly over `over_s` seconds; a fraction of them is cancelled later."""
        for body in jobs:
            cancelled = self._random.random() < CANCELLED_FRACTION and body["shape"] != "daemon"
            cancel_after_s = self._random.uniform(0.0, 15.0) if cancelled else None
            self._world.group.start_soon(self._world.user, body["name_id"], body, cancel_after_s)
            await anyio.sleep(over_s / len(jobs))

    async def probe(self) -> None:
        """Poll jobs at all controllers and repeat submissions and cancellations until cancelled."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            accepted = sorted(self._world.accepted)
            if accepted:
                # The latest jobs are probed more often: their states change most.
                self._world.group.start_soon(
                    self._probe_job, self._random.choice([*accepted, *accepted[-5:]])
                )

    async def _probe_job(self, job_id: str) -> None:
        for name in self._world.names:
            self._world.group.start_soon(
                self._send, name, Request("GET", f"/v2/runs/{job_id}", b"", False)
            )
        if self._random.random() < RESUBMITTED_FRACTION:
            body = self._world.jobs[job_id]
            raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
            name = self._random.choice(self._world.names)
            await self._send(name, Request("POST", "/v2/runs", raw, False))
        if (
            self._world.reported_stages.get(job_id) == "done"
            and self._random.random() < CANCELLED_LATE_FRACTION
        ):
            name = self._random.choice(self._world.names)
            await self._send(name, Request("POST", f"/v2/runs/{job_id}/abort", b"", False))

    async def _send(self, name: str, request: Request) -> None:
        started_at = now()
        await self._world.ask_controller(name, request)
        assert now() - started_at < 30.0
