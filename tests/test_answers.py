"""No answer to a user is older than one that any controller gave before.

Each test brings about one way in which an older state could become an answer.
"""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from answer_days import play_answers
from dapplewick.storage.records import JOBS
from dapplewick.transport.http import Request
from standins import AnswerHistory, World
from test_days import run_script

JOB = "run-000001"
KEY = JOBS + JOB


def submission(world: World, **fields: Any) -> Request:
    world.jobs[JOB] = world.job(name_id=JOB, pieces=1, cpus=1.0, true_s=1.0, **fields)
    body = json.dumps({k: v for k, v in world.jobs[JOB].items() if k != "true_s"}).encode()
    return Request("POST", "/v2/runs", body, False)


POLL = Request("GET", f"/v2/runs/{JOB}", b"", False)
CANCELLATION = Request("POST", f"/v2/runs/{JOB}/abort", b"", False)


async def over_elsewhere(world: World, request: Request, stage: str) -> None:
    """A job is accepted and over while n2 is refused by the state service; n2 is then served
    again, and has not read any of it yet."""
    await anyio.sleep(4)
    world.modes[("n2", "state")] = "refused"
    await anyio.sleep(5)  # an open watch has ended too
    assert (await world.ask_node("n0", request))[0] == 201
    if stage == "withdrawn":
        assert (await world.ask_node("n0", CANCELLATION))[1]["stage"] == stage
    while (await world.ask_node("n0", POLL))[1]["stage"] != stage:
        await anyio.sleep(0.5)
    del world.modes[("n2", "state")]
    assert JOB not in world.nodes["n2"].mirror.jobs


# A submission whose transaction gets no answer


@pytest.mark.parametrize("stage", ["done", "withdrawn"])
@pytest.mark.parametrize("late", [False, True])
def test_a_repeated_submission_without_an_answer_tells_how_the_job_stands(
    stage: str, late: bool
) -> None:
    """The transaction of a repeated submission is refused, since the job is known, and that
    answer is lost. What the record says by then is the answer, not what was asked for."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        request = submission(world)
        await over_elsewhere(world, request, stage)
        if late:
            world.lose = lambda node, said: node == "n2"
        else:
            world.lost_answers = 1.0
        answers.append(await world.ask_node("n2", request))

    run_script(world, 80.0, script)
    assert world.broken == []
    ((status, said),) = answers
    assert status == 200 and said["stage"] == stage


def test_a_submission_that_was_carried_out_without_an_answer_is_accepted() -> None:
    """Its own transaction made the record: there is nothing else to be told."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        await anyio.sleep(4)
        world.lost_answers = 1.0
        answers.append(await world.ask_node("n2", submission(world)))
        world.lost_answers = 0.0

    run_script(world, 12.0, script)
    ((status, said),) = answers
    assert status in (200, 201) and said["stage"] in ("queued", "running")


def test_a_submission_that_may_still_be_carried_out_is_not_answered_for_good() -> None:
    """Neither accepted nor unknown: the user is told when to come back, and then it is known."""
    world = World(1)
    statuses: list[int] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        world.lose = lambda node, said: KEY in json.dumps(said)
        statuses.append((await world.ask_node("n2", request))[0])
        world.lose = None
        statuses.append((await world.ask_node("n1", request))[0])

    run_script(world, 30.0, script)
    assert world.broken == []
    assert statuses[0] == 503 and statuses[1] in (200, 201)


# Drawn days


@pytest.mark.parametrize("seed", range(1, 7))
def test_no_answer_goes_back_on_drawn_days(seed: int) -> None:
    world = play_answers(seed)
    assert world.broken == []
    assert world.history.answers > 1000 and len(world.accepted) > 30


# The checker of the answers can fail


def told(*answers: tuple[str, int, str]) -> list[str]:
    """Answers, each to a question that was put when the one before had been given."""
    history = AnswerHistory()
    for verb, status, stage in answers:
        history.answered(history.ask(JOB, verb), status, {"stage": stage})
    return history.broken


@pytest.mark.parametrize(
    ("answers", "rule"),
    [
        ([("submit", 201, "queued"), ("poll", 404, "")], "forgotten"),
        ([("submit", 201, "queued"), ("submit", 422, "")], "forgotten"),
        ([("submit", 201, "queued"), ("submit", 400, "")], "forgotten"),
        ([("submit", 201, "queued"), ("abort", 404, "")], "forgotten"),
        ([("poll", 200, "done"), ("poll", 200, "running")], "went_back"),
        ([("poll", 200, "done"), ("submit", 201, "queued")], "went_back"),
        ([("poll", 200, "done"), ("abort", 200, "withdrawn")], "went_back"),
        ([("abort", 200, "withdrawn"), ("poll", 200, "done")], "went_back"),
        ([("abort", 200, "withdrawn"), ("submit", 200, "queued")], "went_back"),
        ([("submit", 201, "queued"), ("poll", 200, "withdrawn")], "went_back"),
        ([("poll", 200, "done"), ("poll", 404, "")], "forgotten"),
    ],
)
def test_each_kind_of_answer_that_goes_back_is_noticed(
    answers: list[tuple[str, int, str]], rule: str
) -> None:
    (broken,) = told(*answers)
    assert broken.startswith(rule)


def test_answers_that_do_not_go_back_are_not_noticed() -> None:
    history = AnswerHistory()
    early = history.ask(JOB, "poll")  # put before the job was known, answered at the end
    before = history.ask(JOB, "poll")
    for verb, status, stage in [
        ("submit", 503, ""), ("submit", 201, "queued"), ("submit", 200, "running"),
        ("poll", 200, "queued"), ("abort", 503, ""), ("poll", 200, "running"),
        ("abort", 200, "done"), ("submit", 200, "done"), ("poll", 200, "done"),
    ]:  # fmt: skip
        history.answered(history.ask(JOB, verb), status, {"stage": stage})
    history.answered(early, 404, {})
    history.answered(before, 200, {"stage": "running"})
    assert history.broken == [] and history.answers == 9


def test_two_final_states_contradict_each_other_in_any_order() -> None:
    history = AnswerHistory()
    first, second = history.ask(JOB, "abort"), history.ask(JOB, "poll")
    history.answered(second, 200, {"stage": "done"})
    history.answered(first, 200, {"stage": "withdrawn"})
    (broken,) = history.broken
    assert broken.startswith("went_back")
