"""No answer to a user is older than one that any controller gave before.

Each test brings about one way in which an older state could become an answer.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
import pytest
from msgspec.structs import replace

from dapplewick.controller.controller import Controller
from dapplewick.coordination.cancellation_exchange import CancellationExchange, CancellationMessage
from dapplewick.protocol import peers
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.state_service import Event
from dapplewick.storage.errors import RequestRefusedError
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.key_versions import MIN_REMEMBERED_REMOVALS
from dapplewick.storage.keys import JOBS, PROVISIONING_REQUESTS
from dapplewick.storage.state_client import StateClient
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.transport.http import Request, Response
from dapplewick.types import ControllerName, JobId
from standins import AnswerHistory, World, now, run_in_virtual_time
from support.answer_scenarios import run_answer_scenario
from support.scenarios import run_script

Reply = tuple[int, bytes]

SPEC = JobSpec("x", "red", False, 1, 2, 1.0, 0.0, 1.0, "img", 1.0, 5.0)
JOB = "run-000001"
KEY = JOBS + JOB


def submission(world: World, **fields: Any) -> Request:
    world.jobs[JOB] = world.job(name_id=JOB, pieces=1, **{"cpus": 1.0, "true_s": 1.0, **fields})
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
    assert (await world.ask_controller("n0", request))[0] == 201
    if stage == "withdrawn":
        assert (await world.ask_controller("n0", CANCELLATION))[1]["stage"] == stage
    while (await world.ask_controller("n0", POLL))[1]["stage"] != stage:
        await anyio.sleep(0.5)
    del world.modes[("n2", "state")]
    assert JOB not in world.controllers["n2"].cache.jobs


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
            world.is_late_write = lambda controller, _: controller == "n2"
        else:
            world.lost_answers = 1.0
        answers.append(await world.ask_controller("n2", request))

    run_script(world, 80.0, script)
    assert world.violations == []
    ((status, said),) = answers
    assert status == 200
    assert said["stage"] == stage


def test_a_submission_that_was_carried_out_without_an_answer_is_accepted() -> None:
    """Its own transaction made the record: there is nothing else to be told."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        await anyio.sleep(4)
        world.lost_answers = 1.0
        answers.append(await world.ask_controller("n2", submission(world)))
        world.lost_answers = 0.0

    run_script(world, 12.0, script)
    ((status, said),) = answers
    assert status in (200, 201)
    assert said["stage"] in ("queued", "running")


def test_a_submission_that_may_still_be_carried_out_is_not_answered_for_good() -> None:
    """Neither accepted nor unknown: the user is told when to come back, and then it is known."""
    world = World(1)
    statuses: list[int] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        world.is_late_write = lambda _, said: KEY in json.dumps(said)
        statuses.append((await world.ask_controller("n2", request))[0])
        world.is_late_write = None
        statuses.append((await world.ask_controller("n1", request))[0])

    run_script(world, 30.0, script)
    assert world.violations == []
    assert statuses[0] == 503
    assert statuses[1] in (200, 201)


# A write that is known done late


def answer_of_state(
    world: World, name: str, change: Callable[[str, Reply], Awaitable[Reply]]
) -> None:
    """What a controller is answered by the state service goes through `change`."""
    client = world.controllers[name].state._http
    put = client.request

    async def request(method: str, target: str, body: bytes | None, timeout_s: float) -> Reply:
        return await change(target, await put(method, target, body, timeout_s))

    client.request = request  # type: ignore[method-assign]


@pytest.mark.parametrize("verb", ["submit", "abort"])
def test_a_write_that_is_known_done_late_is_answered_as_things_stand_then(verb: str) -> None:
    """The record that was written is not the newest any more when its answer comes."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        if verb == "abort":
            assert (await world.ask_controller("n0", request))[0] == 201

        async def late(target: str, reply: Reply) -> Reply:
            await anyio.sleep(1.2 if target == "/multi" else 0.0)
            return reply

        answer_of_state(world, "n2", late)

        async def first() -> None:
            answers.append(
                await world.ask_controller("n2", request if verb == "submit" else CANCELLATION)
            )

        async with anyio.create_task_group() as group:
            group.start_soon(first)
            await anyio.sleep(0.4)
            assert (await world.ask_controller("n0", CANCELLATION))[1]["stage"] == "withdrawn"

    run_script(world, 20.0, script)
    assert world.violations == []
    ((status, said),) = answers
    assert status in (200, 201)
    assert said["stage"] == "withdrawn"


async def watch_is_late(target: str, reply: Reply) -> Reply:
    """What the open watch tells comes seconds after the read that a user waits for."""
    if target.startswith("/changes") and "wait_ms=0" not in target:
        await anyio.sleep(5.0)
    return reply


# What an answer rests on may be a few seconds old when the process goes on


@pytest.mark.parametrize("request_", ["poll", "submit", "abort"])
def test_a_controller_that_stood_still_tells_nothing_that_it_read_before(request_: str) -> None:
    """It read the records, stood still, and the job was cancelled elsewhere meanwhile."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        assert (await world.ask_controller("n0", request))[0] == 201
        await anyio.sleep(1)
        asked = {"poll": POLL, "submit": request, "abort": CANCELLATION}[request_]
        world.cut_peers.add("n2")
        answer_of_state(world, "n2", watch_is_late)

        async def ask_the_one_that_stands_still() -> None:
            answers.append(await world.ask_controller("n2", asked))

        async with anyio.create_task_group() as group:
            world.state_delay_factor = 200.0
            group.start_soon(ask_the_one_that_stands_still)
            await anyio.sleep(0.1)
            group.start_soon(world.pause_controller, "n2", 3.0)
            await anyio.sleep(1.3)  # it was answered by now, and does not know it yet
            world.state_delay_factor = 1.0
            assert (await world.ask_controller("n0", CANCELLATION))[1]["stage"] == "withdrawn"

    run_script(world, 20.0, script)
    assert world.violations == []
    ((status, said),) = answers
    assert status in (0, 503) or said["stage"] == "withdrawn"


# Answers of the state service that can't be used


def spoilt(spoil: bytes) -> Callable[[str, Reply], Awaitable[Reply]]:
    """All that is said of changes is replaced."""

    async def change(target: str, reply: Reply) -> Reply:
        return (200, spoil) if target.startswith("/changes") else reply

    return change


@pytest.mark.parametrize(
    "spoil",
    [b'{"ledger":', b"[]", b'{"ledger":"x","events":[]}', b'{"ledger":0,"events":[]}'],
    ids=["cut off", "no object", "no revision", "an older revision"],
)
def test_answers_of_the_state_service_that_are_no_use_are_no_knowledge(spoil: bytes) -> None:
    """Nobody waits for ever on a read that broke, and none takes it for one that succeeded."""
    world = World(1)
    answers: list[tuple[int, Any]] = []
    waited: list[float] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        assert (await world.ask_controller("n0", request))[0] == 201
        world.cut_peers.add("n2")  # it answers by itself, and hears of no cancellation
        answer_of_state(world, "n2", spoilt(spoil))
        await anyio.sleep(5)
        assert (await world.ask_controller("n0", CANCELLATION))[1]["stage"] == "withdrawn"
        for asked in (POLL, request, CANCELLATION, POLL):
            begun = now()
            answers.append(await world.ask_controller("n2", asked))
            waited.append(now() - begun)
        del world.controllers["n2"].state._http.request
        await anyio.sleep(3)
        answers.append(await world.ask_controller("n2", POLL))

    run_script(world, 40.0, script)
    assert world.violations == []
    assert [status for status, _ in answers] == [503, 503, 503, 503, 200]
    assert answers[-1][1]["stage"] == "withdrawn"
    assert max(waited) < 1.0


def test_a_job_whose_newest_record_cannot_be_read_is_not_answered_from_the_one_before() -> None:
    world = World(1)
    answers: list[int] = []

    async def write(value: Any) -> None:
        body = {"apply": [{"write": KEY, "data": value}]}
        assert (await world.state.answer("POST", "/multi", json.dumps(body).encode()))[0] == 200
        await anyio.sleep(1)

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        assert (await world.ask_controller("n0", request))[0] == 201
        value = json.loads(json.dumps(world.state.keys[KEY][0]))
        await write({"stage": "of a later format", "spec": 7})
        for name in world.names:
            for asked in (POLL, request, CANCELLATION):
                answers.append((await world.ask_controller(name, asked))[0])
        await write(value | {"stage": "cancelled"})
        for name in world.names:
            assert (await world.ask_controller(name, POLL))[1]["stage"] == "withdrawn"

    run_script(world, 30.0, script)
    assert world.violations == []
    assert answers == [503] * 9


def test_a_submission_of_a_job_that_cannot_be_read_is_not_refused_for_good() -> None:
    """It is known, though nothing can be said of it: neither the catalogue decides nor the team."""
    world = World(1)

    async def script() -> None:
        await anyio.sleep(4)
        body = {"apply": [{"write": KEY, "data": {"stage": "of a later format", "spec": 7}}]}
        assert (await world.state.answer("POST", "/multi", json.dumps(body).encode()))[0] == 200
        await anyio.sleep(1)
        for fields in ({"cpus": 4000.0}, {"crew": "green"}, {}):
            status, _ = await world.ask_controller("n0", submission(world, **fields))
            assert status == 503

    run_script(world, 12.0, script)
    assert world.violations == []


class PagesWithoutEnd:
    """A state service of which a page says that more comes, and has no items."""

    async def request(self, _method: str, target: str, *_: Any) -> tuple[int, bytes]:
        if "since" in target:
            return 200, b'{"items":[],"more":true,"ledger":9}'
        return 200, b'{"items":[{"key":"dw/a","data":1,"stamp":3}],"more":true,"ledger":9}'


def test_a_listing_that_breaks_off_is_not_taken_for_whole() -> None:
    """Jobs that come after would count as removed, and users be told that there are none."""

    async def script() -> None:
        client = StateClient(PagesWithoutEnd(), 100.0, 100.0)  # type: ignore[arg-type]
        with pytest.raises(RequestRefusedError):
            await client.listing("dw/")

    run_in_virtual_time(script)


# Refusals


def test_a_known_job_is_not_refused_where_the_catalogue_has_changed() -> None:
    """The controller has not read the job yet, and now knows only machines too small for it."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        request = submission(world)
        await over_elsewhere(world, request, "withdrawn")
        small = {
            name: replace(kind, cpus=0.1)
            for name, kind in world.controllers["n2"].cache.types.items()
        }
        world.controllers["n2"].cache.machine_types.types = small
        answers.append(await world.ask_controller("n2", request))

    run_script(world, 40.0, script)
    assert world.violations == []
    ((status, said),) = answers
    assert status == 200
    assert said["stage"] == "withdrawn"


@pytest.mark.parametrize("stage", ["running", "done", "withdrawn"])
def test_other_bodies_under_the_name_of_a_known_job_get_the_protocols_answer(stage: str) -> None:
    """A retry of an accepted job is answered with its state, whatever else its body asks for;
    one that is malformed is refused. Also by a controller that has not read the job yet."""
    world = World(1)
    seen: dict[str, list[tuple[int, Any]]] = {}

    async def script() -> None:
        request = submission(world, true_s=60.0 if stage == "running" else 1.0)
        await over_elsewhere(world, request, stage)
        body = json.loads(request.body)
        bodies = {
            "another": body | {"pieces": 7, "bundle": "y"},
            "too large": body | {"cpus": 4000.0},
            "unknown team": body | {"crew": "green"},
            "malformed": body | {"pieces": "x"},
            "incomplete": {"name_id": JOB},
        }
        for what, value in bodies.items():
            raw = Request("POST", "/v2/runs", json.dumps(value).encode(), False)
            seen[what] = [
                answer_and_stage(await controller.handle(raw)) for controller in behind_first(world)
            ]

    run_script(world, 60.0, script)
    assert world.violations == []
    assert set(seen["malformed"] + seen["incomplete"]) == {(400, None)}
    for what in ("another", "too large", "unknown team"):
        assert set(seen[what]) == {(200, stage)}


def behind_first(world: World) -> list[Controller]:
    """The controllers, first the one that `over_elsewhere` left behind."""
    return [world.controllers[name] for name in ("n2", "n0", "n1")]


def answer_and_stage(answer: Response) -> tuple[int, Any]:
    return answer.status, json.loads(answer.body).get("stage")


# What peers tell of cancellations


@pytest.mark.parametrize(
    "change",
    [
        {"cancelled": [[0, JOB]]},
        {"cancelled": [[-3, JOB]]},
        {"cancelled": [[1 << 64, JOB]]},
        {"cancelled": [["7", JOB]]},
        {"cancelled": [[7, JOB + "/0"]]},
        {"cancelled": [[7, 12]]},
        {"cancelled": [[7, JOB], [8]]},
        {"cancelled": [[7, JOB]] * 3000},
        {"cancelled": 3},
        {"since": None},
        {"revision": "x"},
        {"heard": []},
        {"heard": {"a": [1, 2]}},
        {"complete": "yes"},
    ],
)
def test_a_malformed_list_of_cancellations_cancels_nothing(change: dict[str, Any]) -> None:
    peer, cache = ControllerName("b"), WatchCache()
    cache.put(KEY, JobRecord(SPEC, 1.0).dump(), 3)
    watch = CancellationExchange("boot-a", [peer], 2)
    message = CancellationExchange("boot-b", [ControllerName("a")], 2).message(
        5.0, WatchCache(), True
    )

    def hear_malformed() -> None:
        malformed = peers.decode(peers.encode(message) | change, CancellationMessage)
        watch.receive(6.0, ControllerName("a"), peer, malformed, cache)

    with pytest.raises(msgspec.ValidationError):
        hear_malformed()
    assert cache.jobs[JobId(JOB)].open
    assert cache.cancellations(0) == []
    assert watch.complete_as_of(7.0) < 0


def test_a_list_of_cancellations_is_taken_over() -> None:
    """The same message, well-formed: what the test before changes is what matters."""
    peer, cache = ControllerName("b"), WatchCache()
    cache.put(KEY, JobRecord(SPEC, 1.0).dump(), 3)
    message = CancellationExchange("boot-b", [ControllerName("a")], 2).message(
        5.0, WatchCache(), True
    )
    listed = peers.decode(peers.encode(message) | {"cancelled": [[7, JOB]]}, CancellationMessage)
    CancellationExchange("boot-a", [peer], 2).receive(6.0, ControllerName("a"), peer, listed, cache)
    assert not cache.jobs[JobId(JOB)].open
    assert cache.cancellations(0) == [(7, JOB)]


# Changes that are told late


def test_an_overtaken_watch_response_brings_nothing_back() -> None:
    """More keys were removed since than are remembered; a watch that was asked before tells of
    what was there before that."""
    value = {"type": "g8", "zone": "a", "spot": False, "count": 1, "at": 1.0}
    cache, keys = (
        WatchCache(),
        [f"{PROVISIONING_REQUESTS}{n}" for n in range(MIN_REMEMBERED_REMOVALS + 10)],
    )
    late = [Event(n + 1, put=key, value=value) for n, key in enumerate(keys)]
    removals = [Event(len(keys) + n + 1, delete=key) for n, key in enumerate(keys)]
    cache.apply_events([*late, *removals], 20 * len(keys))
    cache.apply_events([], 40 * len(keys))
    cache.remove(f"{PROVISIONING_REQUESTS}last", 40 * len(keys) + 1)
    cache.apply_events(late, len(keys))
    assert cache.provisioning_requests == {}
    assert cache.versions == {}
    assert cache.revision == 40 * len(keys)


def test_an_own_write_known_after_a_listing_brings_no_removed_key_back() -> None:
    """The key was written and removed before the listing, which therefore lacks it; the answer to
    the write comes after it, and no watch will tell of the removal any more."""
    value = {"type": "g8", "zone": "a", "spot": False, "count": 1, "at": 1.0}
    cache = WatchCache()
    cache.reload({}, 2)
    cache.put(f"{PROVISIONING_REQUESTS}x", value, 1)
    assert cache.provisioning_requests == {}


def test_removed_keys_are_not_remembered_for_ever() -> None:
    cache = WatchCache()
    for n in range(1, 60_000):
        cache.remove(f"{PROVISIONING_REQUESTS}{n}", n)
        cache.apply_events([], n)
    assert len(cache._key_versions.removals) <= MIN_REMEMBERED_REMOVALS + 1


# Random scenarios


@pytest.mark.parametrize("seed", range(1, 7))
def test_no_answer_goes_back_in_random_scenarios(seed: int) -> None:
    world = run_answer_scenario(seed)
    assert world.violations == []
    assert world.history.answers > 1000
    assert len(world.accepted) > 30


# The checker of the answers can fail


def told(*answers: tuple[str, int, str]) -> list[str]:
    """Answers, each to a question that was put when the one before had been given."""
    history = AnswerHistory()
    for verb, status, stage in answers:
        history.record_answer(history.record_request(JOB, verb), status, {"stage": stage})
    return history.violations


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
def test_each_kind_of_answer_that_goes_back_is_detected(
    answers: list[tuple[str, int, str]], rule: str
) -> None:
    (violations,) = told(*answers)
    assert violations.startswith(rule)


def test_answers_that_do_not_go_back_pass() -> None:
    history = AnswerHistory()
    early = history.record_request(JOB, "poll")  # put before the job was known, answered at the end
    before = history.record_request(JOB, "poll")
    for verb, status, stage in [
        ("submit", 503, ""),
        ("submit", 201, "queued"),
        ("submit", 200, "running"),
        ("poll", 200, "queued"),
        ("abort", 503, ""),
        ("poll", 200, "running"),
        ("abort", 200, "done"),
        ("submit", 200, "done"),
        ("poll", 200, "done"),
    ]:
        history.record_answer(history.record_request(JOB, verb), status, {"stage": stage})
    history.record_answer(early, 404, {})
    history.record_answer(before, 200, {"stage": "running"})
    assert history.violations == []
    assert history.answers == 9


def test_two_final_states_contradict_each_other_in_any_order() -> None:
    history = AnswerHistory()
    first, second = history.record_request(JOB, "abort"), history.record_request(JOB, "poll")
    history.record_answer(second, 200, {"stage": "done"})
    history.record_answer(first, 200, {"stage": "withdrawn"})
    (violations,) = history.violations
    assert violations.startswith("went_back")
