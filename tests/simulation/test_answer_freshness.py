"""No answer to a user shows an older state than an answer that any controller gave before.

Each test causes one of the failures in which a controller could answer from an older state.
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


async def end_job_unseen_by_n2(world: World, request: Request, stage: str) -> None:
    """Submit a job and wait for its final stage while the state service refuses n2.

    The state service then serves n2 again, and n2 has not read the job's record yet.
    """
    await anyio.sleep(4)
    world.modes[("n2", "state")] = "refused"
    await anyio.sleep(5)  # long enough for an open watch of n2 to end as well
    assert (await world.ask_controller("n0", request))[0] == 201
    if stage == "withdrawn":
        assert (await world.ask_controller("n0", CANCELLATION))[1]["stage"] == stage
    while (await world.ask_controller("n0", POLL))[1]["stage"] != stage:
        await anyio.sleep(0.5)
    del world.modes[("n2", "state")]
    assert JOB not in world.controllers["n2"].cache.jobs


# Submissions whose transaction gets no answer


@pytest.mark.parametrize("stage", ["done", "withdrawn"])
@pytest.mark.parametrize("late", [False, True])
def test_a_repeated_submission_without_an_answer_returns_the_stored_stage(
    stage: str, late: bool
) -> None:
    """The controller answers a repeated submission with the stage in the job's record.

    The state service rejects the transaction because the job's record exists, and its answer is
    lost. The controller must not assume that its own transaction created the record.
    """
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        request = submission(world)
        await end_job_unseen_by_n2(world, request, stage)
        if late:
            world.is_late_write = lambda controller, _: controller == "n2"
        else:
            world.lost_answers = 1.0
        answers.append(await world.ask_controller("n2", request))

    run_script(world, 80.0, script)
    assert world.violations == []
    ((status, answer_body),) = answers
    assert status == 200
    assert answer_body["stage"] == stage


def test_a_submission_that_was_carried_out_without_an_answer_is_accepted() -> None:
    """The transaction created the record and its answer was lost, so the job is new."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        await anyio.sleep(4)
        world.lost_answers = 1.0
        answers.append(await world.ask_controller("n2", submission(world)))
        world.lost_answers = 0.0

    run_script(world, 12.0, script)
    ((status, answer_body),) = answers
    assert status in (200, 201)
    assert answer_body["stage"] in ("queued", "running")


def test_a_submission_with_an_unknown_outcome_gets_no_final_answer() -> None:
    """The outcome of the transaction is unknown, so the user gets a 503 answer and retries."""
    world = World(1)
    statuses: list[int] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        world.is_late_write = lambda _, transaction: KEY in json.dumps(transaction)
        statuses.append((await world.ask_controller("n2", request))[0])
        world.is_late_write = None
        statuses.append((await world.ask_controller("n1", request))[0])

    run_script(world, 30.0, script)
    assert world.violations == []
    assert statuses[0] == 503
    assert statuses[1] in (200, 201)


# Writes whose answer arrives late


def intercept_state_answers(
    world: World, name: str, change: Callable[[str, Reply], Awaitable[Reply]]
) -> None:
    """Pass each answer of the state service to a controller through `change`."""
    client = world.controllers[name].state._http
    send = client.request

    async def request(method: str, target: str, body: bytes | None, timeout_s: float) -> Reply:
        return await change(target, await send(method, target, body, timeout_s))

    client.request = request  # type: ignore[method-assign]


@pytest.mark.parametrize("verb", ["submit", "abort"])
def test_a_write_confirmed_late_is_answered_with_the_current_stage(verb: str) -> None:
    """Another controller cancels the job before the answer to the first write arrives."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        if verb == "abort":
            assert (await world.ask_controller("n0", request))[0] == 201

        async def delay_transactions(target: str, reply: Reply) -> Reply:
            await anyio.sleep(1.2 if target == "/multi" else 0.0)
            return reply

        intercept_state_answers(world, "n2", delay_transactions)

        async def ask_n2() -> None:
            answers.append(
                await world.ask_controller("n2", request if verb == "submit" else CANCELLATION)
            )

        async with anyio.create_task_group() as group:
            group.start_soon(ask_n2)
            await anyio.sleep(0.4)
            assert (await world.ask_controller("n0", CANCELLATION))[1]["stage"] == "withdrawn"

    run_script(world, 20.0, script)
    assert world.violations == []
    ((status, answer_body),) = answers
    assert status in (200, 201)
    assert answer_body["stage"] == "withdrawn"


async def delay_open_watch(target: str, reply: Reply) -> Reply:
    """Deliver the answers of the open watch 5 s later than those of immediate reads."""
    if target.startswith("/changes") and "wait_ms=0" not in target:
        await anyio.sleep(5.0)
    return reply


# A process that was suspended resumes with records that it read before


@pytest.mark.parametrize("request_", ["poll", "submit", "abort"])
def test_a_suspended_controller_answers_nothing_that_it_read_before(request_: str) -> None:
    """The controller reads the records and is suspended, and a peer cancels the job meanwhile."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        assert (await world.ask_controller("n0", request))[0] == 201
        await anyio.sleep(1)
        user_request = {"poll": POLL, "submit": request, "abort": CANCELLATION}[request_]
        world.cut_peers.add("n2")
        intercept_state_answers(world, "n2", delay_open_watch)

        async def ask_suspended_controller() -> None:
            answers.append(await world.ask_controller("n2", user_request))

        async with anyio.create_task_group() as group:
            world.state_delay_factor = 200.0
            group.start_soon(ask_suspended_controller)
            await anyio.sleep(0.1)
            group.start_soon(world.pause_controller, "n2", 3.0)
            # The state service's answer has arrived by then, but n2 has not processed it.
            await anyio.sleep(1.3)
            world.state_delay_factor = 1.0
            assert (await world.ask_controller("n0", CANCELLATION))[1]["stage"] == "withdrawn"

    run_script(world, 20.0, script)
    assert world.violations == []
    ((status, answer_body),) = answers
    assert status in (0, 503) or answer_body["stage"] == "withdrawn"


# Unusable answers of the state service


def replace_changes(replacement: bytes) -> Callable[[str, Reply], Awaitable[Reply]]:
    """Return a function that replaces the body of every answer to a watch or a read of changes."""

    async def change(target: str, reply: Reply) -> Reply:
        return (200, replacement) if target.startswith("/changes") else reply

    return change


@pytest.mark.parametrize(
    "spoil",
    [b'{"ledger":', b"[]", b'{"ledger":"x","events":[]}', b'{"ledger":0,"events":[]}'],
    ids=["cut off", "no object", "no revision", "an older revision"],
)
def test_unusable_answers_of_the_state_service_are_not_used(spoil: bytes) -> None:
    """A failed read ends within 1 s with a 503 answer, and does not count as a successful read."""
    world = World(1)
    answers: list[tuple[int, Any]] = []
    answer_times_s: list[float] = []

    async def script() -> None:
        await anyio.sleep(4)
        request = submission(world)
        assert (await world.ask_controller("n0", request))[0] == 201
        world.cut_peers.add("n2")  # n2 receives no cancellations from its peers
        intercept_state_answers(world, "n2", replace_changes(spoil))
        await anyio.sleep(5)
        assert (await world.ask_controller("n0", CANCELLATION))[1]["stage"] == "withdrawn"
        for user_request in (POLL, request, CANCELLATION, POLL):
            asked_at = now()
            answers.append(await world.ask_controller("n2", user_request))
            answer_times_s.append(now() - asked_at)
        del world.controllers["n2"].state._http.request
        await anyio.sleep(3)
        answers.append(await world.ask_controller("n2", POLL))

    run_script(world, 40.0, script)
    assert world.violations == []
    assert [status for status, _ in answers] == [503, 503, 503, 503, 200]
    assert answers[-1][1]["stage"] == "withdrawn"
    assert max(answer_times_s) < 1.0


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
            for user_request in (POLL, request, CANCELLATION):
                answers.append((await world.ask_controller(name, user_request))[0])
        await write(value | {"stage": "cancelled"})
        for name in world.names:
            assert (await world.ask_controller(name, POLL))[1]["stage"] == "withdrawn"

    run_script(world, 30.0, script)
    assert world.violations == []
    assert answers == [503] * 9


def test_a_submission_of_a_job_that_cannot_be_read_is_not_refused_permanently() -> None:
    """The job exists although its record can't be parsed, so every submission is answered 503.

    This also holds for a body that the catalogue or the team's limit would otherwise reject.
    """
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
    """A state service whose second page of a listing announces more pages but has no items."""

    async def request(self, _method: str, target: str, *_: Any) -> tuple[int, bytes]:
        if "since" in target:
            return 200, b'{"items":[],"more":true,"ledger":9}'
        return 200, b'{"items":[{"key":"dw/a","data":1,"stamp":3}],"more":true,"ledger":9}'


def test_a_listing_that_breaks_off_is_not_taken_for_whole() -> None:
    """An incomplete listing must not replace the cache.

    The jobs on the missing pages would count as removed, and users would get 404 answers.
    """

    async def script() -> None:
        client = StateClient(PagesWithoutEnd(), 100.0, 100.0)  # type: ignore[arg-type]
        with pytest.raises(RequestRefusedError):
            await client.listing("dw/")

    run_in_virtual_time(script)


# Rejected submissions


def test_a_known_job_is_not_refused_where_the_catalogue_has_changed() -> None:
    """The controller has not read the job yet, and its catalogue lists only smaller machines."""
    world = World(1)
    answers: list[tuple[int, Any]] = []

    async def script() -> None:
        request = submission(world)
        await end_job_unseen_by_n2(world, request, "withdrawn")
        small = {
            name: replace(kind, cpus=0.1)
            for name, kind in world.controllers["n2"].cache.types.items()
        }
        world.controllers["n2"].cache.machine_types.types = small
        answers.append(await world.ask_controller("n2", request))

    run_script(world, 40.0, script)
    assert world.violations == []
    ((status, answer_body),) = answers
    assert status == 200
    assert answer_body["stage"] == "withdrawn"


@pytest.mark.parametrize("stage", ["running", "done", "withdrawn"])
def test_other_bodies_under_the_name_of_a_known_job_get_the_protocols_answer(stage: str) -> None:
    """A submission under the name of an accepted job is answered with that job's stage.

    The other fields of its body don't matter, but a malformed body is rejected. Both also hold for
    a controller that has not read the job yet.
    """
    world = World(1)
    answers: dict[str, list[tuple[int, Any]]] = {}

    async def script() -> None:
        request = submission(world, true_s=60.0 if stage == "running" else 1.0)
        await end_job_unseen_by_n2(world, request, stage)
        body = json.loads(request.body)
        bodies = {
            "another": body | {"pieces": 7, "bundle": "y"},
            "too large": body | {"cpus": 4000.0},
            "unknown team": body | {"crew": "green"},
            "malformed": body | {"pieces": "x"},
            "incomplete": {"name_id": JOB},
        }
        for variant, value in bodies.items():
            raw = Request("POST", "/v2/runs", json.dumps(value).encode(), False)
            answers[variant] = [
                status_and_stage(await controller.handle(raw))
                for controller in controllers_beginning_with_n2(world)
            ]

    run_script(world, 60.0, script)
    assert world.violations == []
    assert set(answers["malformed"] + answers["incomplete"]) == {(400, None)}
    for variant in ("another", "too large", "unknown team"):
        assert set(answers[variant]) == {(200, stage)}


def controllers_beginning_with_n2(world: World) -> list[Controller]:
    """All controllers; n2, which has not read the job, comes first."""
    return [world.controllers[name] for name in ("n2", "n0", "n1")]


def status_and_stage(answer: Response) -> tuple[int, Any]:
    return answer.status, json.loads(answer.body).get("stage")


# Lists of cancellations from peers


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
    exchange = CancellationExchange("boot-a", [peer], 2)
    message = CancellationExchange("boot-b", [ControllerName("a")], 2).message(
        5.0, WatchCache(), True
    )

    def receive_malformed() -> None:
        malformed = peers.decode(peers.encode(message) | change, CancellationMessage)
        exchange.receive(6.0, ControllerName("a"), peer, malformed, cache)

    with pytest.raises(msgspec.ValidationError):
        receive_malformed()
    assert cache.jobs[JobId(JOB)].open
    assert cache.cancellations(0) == []
    assert exchange.complete_as_of(7.0) < 0


def test_a_list_of_cancellations_is_taken_over() -> None:
    """The unchanged message of the test above is valid, so only its changes are rejected there."""
    peer, cache = ControllerName("b"), WatchCache()
    cache.put(KEY, JobRecord(SPEC, 1.0).dump(), 3)
    message = CancellationExchange("boot-b", [ControllerName("a")], 2).message(
        5.0, WatchCache(), True
    )
    listed = peers.decode(peers.encode(message) | {"cancelled": [[7, JOB]]}, CancellationMessage)
    CancellationExchange("boot-a", [peer], 2).receive(6.0, ControllerName("a"), peer, listed, cache)
    assert not cache.jobs[JobId(JOB)].open
    assert cache.cancellations(0) == [(7, JOB)]


# Changes that are received late


def test_an_outdated_watch_response_restores_no_removed_key() -> None:
    """A watch response that is older than the cache must not restore keys that were removed.

    More keys were removed since that response than the cache remembers removals.
    """
    value = {"type": "g8", "zone": "a", "spot": False, "count": 1, "at": 1.0}
    cache, keys = (
        WatchCache(),
        [f"{PROVISIONING_REQUESTS}{n}" for n in range(MIN_REMEMBERED_REMOVALS + 10)],
    )
    delayed = [Event(n + 1, put=key, value=value) for n, key in enumerate(keys)]
    removals = [Event(len(keys) + n + 1, delete=key) for n, key in enumerate(keys)]
    cache.apply_events([*delayed, *removals], 20 * len(keys))
    cache.apply_events([], 40 * len(keys))
    cache.remove(f"{PROVISIONING_REQUESTS}last", 40 * len(keys) + 1)
    cache.apply_events(delayed, len(keys))
    assert cache.provisioning_requests == {}
    assert cache.versions == {}
    assert cache.revision == 40 * len(keys)


def test_an_own_write_confirmed_after_a_listing_restores_no_removed_key() -> None:
    """A confirmed write must not restore a key that was removed before the last listing.

    The listing lacks the key, the answer to the write arrives after the listing, and the watch
    begins after the removal and so does not report it.
    """
    value = {"type": "g8", "zone": "a", "spot": False, "count": 1, "at": 1.0}
    cache = WatchCache()
    cache.reload({}, 2)
    cache.put(f"{PROVISIONING_REQUESTS}x", value, 1)
    assert cache.provisioning_requests == {}


def test_the_number_of_remembered_removals_is_bounded() -> None:
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


# The checker of answers detects violations


def violations_of(*answers: tuple[str, int, str]) -> list[str]:
    """Check answers to consecutive requests, each sent after the answer before it arrived."""
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
    (violations,) = violations_of(*answers)
    assert violations.startswith(rule)


def test_answers_that_do_not_go_back_pass() -> None:
    history = AnswerHistory()
    early = history.record_request(JOB, "poll")  # sent before the job was accepted, answered last
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
