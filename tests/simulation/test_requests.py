"""User requests: invalid submissions, and a job that waits behind long-running tasks."""

from __future__ import annotations

import json
from typing import Any

import anyio

from dapplewick.transport.http import Request
from standins import World, now
from support.scenarios import call, run_script, submit_jobs

# Invalid requests with their expected status codes


INVALID: list[tuple[dict[str, Any], int]] = [
    ({"cpus": 64.0}, 422),
    ({"crew": "green"}, 422),
    ({"yard": "z"}, 422),
    ({"builds": ["g9"]}, 422),
    ({"shape": "group", "pieces": 9, "cpus": 4.0, "crew": "blue"}, 422),
    ({"shape": "group", "pieces": 2, "scatter": True, "yard": "a"}, 422),
    ({"shape": "group", "pieces": 2, "scatter": True, "same_place": True}, 422),
    ({"shape": "other"}, 400),
    ({"pieces": 0}, 400),
    ({"cpus": "2"}, 400),
    ({"cpus": -1.0}, 400),
    ({"urgency": None}, 400),
    ({"scatter": 1}, 400),
]


FIELDS = [
    "name_id",
    "bundle",
    "crew",
    "shape",
    "urgency",
    "pieces",
    "cpus",
    "accelerators",
    "ram_gb",
    "kit",
    "image_gb",
    "same_place",
    "scatter",
    "borrowed",
    "expected_s",
    "fold_s",
    "press_s",
]


def test_invalid_requests_get_the_protocols_answer_also_in_an_outage() -> None:
    world = World(2)
    mismatches: list[str] = []

    async def submit(body: dict[str, Any]) -> int:
        raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        asked_at = now()
        answer = await world.controllers["n1"].handle(Request("POST", "/v2/runs", raw, False))
        assert answer.status != 503 or (
            answer.retry_after and now() - asked_at < 0.5
        )  # the limit for one read of the state service, shared by all requests
        return answer.status

    async def submit_invalid() -> None:
        for change, status in INVALID:
            received = await submit(world.job(name_id="run-odd", **change))
            if received != status:
                mismatches.append(f"{change} got {received}")
        for field in FIELDS:
            body = world.job(name_id="run-odd")
            del body[field]
            if (received := await submit(body)) != 400:
                mismatches.append(f"without {field} got {received}")

    async def script() -> None:
        await anyio.sleep(5)
        for name, true_s in (("run-done", 2.0), ("run-open", 900.0)):
            world.jobs[name] = world.job(name_id=name, true_s=true_s)
            assert await submit(world.jobs[name]) == 201
            await submit_invalid()
            await anyio.sleep(25)
        for outage in (False, True):
            world.state.set_down(outage)
            status = 503 if outage else 200
            assert await submit(world.jobs["run-open"]) == status
            assert await submit(world.jobs["run-done"]) == 200
            assert (await call(world, "n2", "POST", "run-done", "abort")) == (
                (503, {"error": "not available now"})
                if outage
                else (200, {"name_id": "run-done", "stage": "done"})
            )
            unknown = 503 if outage else 404
            assert (await call(world, "n0", "GET", "run-none"))[0] == unknown
            assert (await call(world, "n0", "POST", "run-none", "abort"))[0] == unknown
            assert await submit(world.job(name_id=f"run-new{outage}")) == (503 if outage else 201)
            await submit_invalid()

    world.jobs["run-newFalse"] = world.job(name_id="run-newFalse")
    run_script(world, 80.0, script)
    assert mismatches == []


def test_a_job_behind_others_that_run_on_and_on_gets_a_machine_of_its_own() -> None:
    """A waiting job must get machines although busy slots are estimated to be free soon.

    The estimated run time of the tasks on these slots is too short. As long as only the estimate
    counts, no machine is provisioned for the job.
    """
    world = World(3)
    durations_s: list[float] = []

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 1, pieces=12, true_s=900.0)
        await anyio.sleep(22)
        body = world.job(name_id="run-000009", pieces=2, cpus=8.0, true_s=5.0)
        world.group.start_soon(world.user, body["name_id"], body, None)
        submitted_at = now()
        while world.reported_stages.get("run-000009") != "done":
            await anyio.sleep(0.5)
        durations_s.append(now() - submitted_at)

    run_script(world, 180.0, script)
    assert durations_s
    assert durations_s[0] < 110.0
