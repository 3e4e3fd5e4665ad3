"""Decodes golden values with the current sources and encodes them again.

`WRITERS` maps each kind of golden item to the function that converts its input values to the
stored or sent form. Inputs and outputs are raw values without identifiers of the sources, so that
renaming identifiers doesn't change them. Values that are only parsed are converted to lists by
`without_field_names`.
"""

from __future__ import annotations

import hashlib
import json
import re
import time
from collections.abc import Callable, Coroutine
from typing import Any
from unittest.mock import patch

import anyio
import cbor2
import msgspec
from click.testing import CliRunner

from dapplewick import client, config, script
from dapplewick.cli import main as cli
from dapplewick.cli import partitions as commands
from dapplewick.cli import status_text
from dapplewick.controller.controller import Controller
from dapplewick.coordination.peer_exchange import StateServiceReport
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.job_writes import JobWriteBuilder
from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.partitions import plan
from dapplewick.protocol import peers
from dapplewick.protocol.cloud import encode_machine_types
from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.protocol.users import encode_job_state, parse_submission
from dapplewick.protocol.workers import (
    Command,
    encode_heartbeat_response,
    encode_redirect,
    parse_heartbeat,
)
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.errors import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    RevisionCompactedError,
    TransactionConflictError,
    ValueTooLargeError,
)
from dapplewick.storage.keys import (
    CHUNKS,
    CONTROLLERS,
    FORMAT,
    GANG_PLACEMENTS,
    JOBS,
    LEADER,
    MACHINES,
    PARTITION_PLAN,
    PROVISIONING_REQUESTS,
    SHARDS,
    TRANSFERS,
    TYPE_KEYS,
    TYPES,
)
from dapplewick.storage.state_client import StateClient
from dapplewick.storage.transactions import first_whole_groups, split_into_transactions
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.transport import peer
from dapplewick.transport.http import Request
from dapplewick.types import (
    Attempt,
    ControllerName,
    FencingToken,
    JobId,
    MachineId,
    TaskIndex,
    TaskRef,
)
from standins import Link, Wire, World, now, run_in_virtual_time, settings

Writer = Callable[[Any], Any]


def without_field_names(value: Any) -> Any:
    """Convert a value to nested lists in the order of declaration, without field names."""
    if isinstance(value, msgspec.Struct):
        return [without_field_names(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, dict):
        return [
            [without_field_names(key), without_field_names(item)] for key, item in value.items()
        ]
    if isinstance(value, list | tuple):
        return [without_field_names(item) for item in value]
    if isinstance(value, set | frozenset):
        return sorted(without_field_names(item) for item in value)
    return value


def text(value: Any) -> str:
    """A value in its stored encoding."""
    return msgspec.json.encode(value).decode()


def through_frame(message: Any) -> Any:
    """A message as a peer decodes it. Golden files hold bodies as lists of byte values."""
    if isinstance(message, dict) and isinstance(message.get("body"), list):
        message = {**message, "body": bytes(message["body"])}
    return cbor2.loads(cbor2.dumps(message))


# Stored records


def watch_cache_of(records: list[list[Any]]) -> WatchCache:
    """A watch cache that has loaded these records (key, value, version)."""
    cache = WatchCache()
    for key, value, version in records:
        cache.put(key, value, version)
        assert key not in cache.unreadable, key
    return cache


def _rewritten(cache: WatchCache, key: str) -> Any:
    """A record, decoded and encoded again by the current code."""
    name = key.split("/", 2)[-1]
    job, _, number = name.rpartition("/")
    if key.startswith(JOBS):
        return cache.jobs[JobId(name)].dump()
    if key.startswith(CHUNKS):
        return cache.jobs[JobId(job)].chunk_values()[int(number)]
    if key.startswith(GANG_PLACEMENTS):
        return msgspec.to_builtins(cache.placements[JobId(job)][int(number)])
    if key.startswith(TYPE_KEYS):
        return encode_machine_types([cache.types[name]])[0]
    if key == TYPES:
        return encode_machine_types(list(cache.types.values()))
    if key == FORMAT:
        return {"version": cache.format}
    if key == PARTITION_PLAN:
        return msgspec.to_builtins(plan.convert(cache.partition_plan))
    if key == LEADER:
        return msgspec.to_builtins(cache.leader)
    return _table_record(cache, key, name)


def _table_record(cache: WatchCache, key: str, name: str) -> Any:
    """A record that the watch cache holds as one entry of one table."""
    tables: list[tuple[str, Any]] = [
        (MACHINES, cache.groups),
        (SHARDS, cache.shards),
        (CONTROLLERS, cache.controllers),
        (PROVISIONING_REQUESTS, cache.provisioning_requests),
        (TRANSFERS, cache.transfers.records),
    ]
    for prefix, table in tables:
        if key.startswith(prefix):
            return msgspec.to_builtins(table[name])
    raise KeyError(key)


def rewrite(records: list[list[Any]]) -> Any:
    """Records decoded and encoded again, with the machine table that was derived from them."""
    cache = watch_cache_of(records)
    rewritten = [[key, text(_rewritten(cache, key))] for key, _, _ in records]
    return {"again": rewritten, "machines": without_field_names(cache.machines)}


def _changes(changes: list[ConditionalWrite]) -> Any:
    return [
        [without_field_names(change)[0], text(change.value), *without_field_names(change)[2:]]
        for change in changes
    ]


def _draft_of(given: Any) -> tuple[JobWriteBuilder, WatchCache, JobId]:
    cache = watch_cache_of(given["records"])
    return JobWriteBuilder(cache, ["a", "b"], given["most"]), cache, JobId(given["job"])


def write_placements(given: Any) -> Any:
    """The writes of a long gang's placement."""
    writes, cache, job = _draft_of(given)
    return _changes(writes.changes(10.0, job, cache.jobs[job].copy(), WritePriority.NORMAL))


def write_assignments(given: Any) -> Any:
    """The writes of a job when tasks are assigned to a shard."""
    writes, cache, job = _draft_of(given)
    draft = cache.jobs[job].copy()
    draft.assignments.setdefault(given["part"], set()).update(given["tasks"])
    return _changes(writes.changes(10.0, job, draft, WritePriority.NORMAL))


def write_conversion(given: Any) -> Any:
    """The writes that convert a job to chunks."""
    writes, _, _ = _draft_of(given)
    return _changes(writes.conversion_writes())


def write_removals(given: Any) -> Any:
    """The writes that remove obsolete keys."""
    writes, _, _ = _draft_of(given)
    return _changes(writes.obsolete_key_removals([]))


def write_cancelled(given: Any) -> Any:
    """A cancelled job whose assignments exceed the limit of a value."""
    _, cache, job = _draft_of(given)
    return text(cache.jobs[job].dump(given["most"]))


def write_machines(given: Any) -> Any:
    """The writes of a group when a machine is terminated or machines move to a partition."""
    cache = watch_cache_of(given["records"])
    machine_lifecycle = MachineLifecycle(cache, None, 14.0, 4.0)  # type: ignore[arg-type]
    machine_lifecycle.begin()
    if "doom" in given:
        machine_lifecycle.terminate(MachineId(given["doom"]), "golden")
        return _changes(machine_lifecycle.changes())
    floors = {MachineId(name): floor for name, floor in given["floors"]}
    going = machine_lifecycle.move(floors, given["share"], "tie")
    return [without_field_names(going), _changes(machine_lifecycle.moves("tie"))]


# A single controller


class ScriptedService:
    """A service stub that returns given answers in order and records the requests."""

    def __init__(self, answers: list[list[Any]]) -> None:
        self.answers = [(int(status), str(body)) for status, body in answers]
        self.requests: list[list[Any]] = []

    async def request(
        self, method: str, target: str, body: bytes | None, _within: float
    ) -> tuple[int, bytes]:
        """Record a request and return the next answer."""
        self.requests.append([method, target, None if body is None else body.decode()])
        status, answer = self.answers.pop(0)
        return status, answer.encode()


class RecordingPeer:
    """A link stub that records posted messages and requests."""

    def __init__(self, answer: Any = None) -> None:
        self.posted: list[list[str]] = []
        self.requests: list[str] = []
        self.answer = answer

    def post(self, kind: str, message: dict[str, Any]) -> None:
        """Record a message."""
        self.posted.append([kind, cbor2.dumps(message).hex()])

    async def request(self, message: dict[str, Any], _within: float) -> Any:
        """Record a request and return the given answer."""
        self.requests.append(cbor2.dumps(message).hex())
        return self.answer

    async def run(self) -> None:
        """Do nothing: no message leaves the stub."""


def _result_in_virtual_time(scenario_steps: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run steps in virtual time and return their result."""
    out: list[Any] = []

    async def main() -> None:
        out.append(await scenario_steps())

    run_in_virtual_time(main)
    return out[0]


def _controller(
    records: list[list[Any]], answers: list[list[Any]], answer: Any = None
) -> tuple[Controller, ScriptedService, RecordingPeer]:
    service, link = ScriptedService(answers), RecordingPeer(answer)

    def connect(_host: str, _port: int) -> Any:
        return service

    def link_to(_host: str, _port: int) -> Any:
        return link

    with patch.object(time, "time_ns", lambda: 1):
        controller = Controller(
            settings("n0"), connect=connect, link=link_to, clock=now, wall_time=now, seed=1
        )
    controller.identity.incarnation = "n0-1"
    controller.records.ready = True
    controller.records.current_at = controller.records.contact_at = now()
    controller.presence.lease, controller.presence.lease_valid_until = 7, now() + 5.0
    revision = max((version for _, _, version in records), default=0)
    controller.cache.reload({key: (value, version) for key, value, version in records}, revision)
    assert not controller.cache.unreadable
    controller.records.apply_changed()
    return controller, service, link


def _is_leader(controller: Controller) -> LeaderPlanner:
    leader = LeaderPlanner(
        controller.cache,
        controller.settings,
        controller.estimates,
        FencingToken(3),
        now(),
        controller.tuning,
        controller.partitions.shard_names(),
    )
    controller.leadership.planner = leader
    return leader


def exchange_messages(given: Any) -> Any:
    """Deliver messages of peers; returns the state decoded from them and the messages sent."""

    async def scenario_steps() -> Any:
        controller, _, link = _controller(given["records"], [])
        leader = _is_leader(controller) if given.get("leads") else None
        answers = [controller.on_message(through_frame(message)) for message in given["messages"]]
        controller.gossip_wake.set()
        with anyio.move_on_after(0.2):
            await controller.peers.run()
        shards: list[Any] = []
        if leader is not None:
            leader.receive_catalog(list(controller.cache.types.values()))
            unreachable = leader.unreachable_shards()
            shards = without_field_names(
                [
                    [
                        shard.shard,
                        shard.zone,
                        shard.token,
                        shard.status_number,
                        shard.clock_offset_s,
                        shard.seen_revision,
                        {name: peers.encode(status) for name, status in shard.machines.items()},
                        {name: peers.encode(status) for name, status in shard.jobs.items()},
                        shard.gangs,
                        peers.encode(shard.latest_status) if shard.status_number else {},
                        unreachable,
                        [shard.placed_task_count(job) for job in shard.jobs],
                    ]
                    for shard in leader.shards.values()
                ]
            )
            shards.append(_changes(leader.plan(now(), now())))
        cancelled = controller.cache.cancellations(0)
        read = without_field_names(
            [
                controller.peers.state_service_reports,
                controller.peers.running_by_controller,
                controller.peers.reported_owners,
                controller.confirmations.confirmed,
                cancelled,
                controller.cancellations.complete_as_of(now()),
                [job.stage for job in controller.cache.jobs.values()],
            ]
        )
        frames = [None if answer is None else cbor2.dumps(answer).hex() for answer in answers]
        return {"read": read, "parts": shards, "sent": link.posted, "answers": frames}

    return _result_in_virtual_time(scenario_steps)


def _request_of(kind: str, body: Any) -> Request | None:
    """The HTTP request of a step, or None for other steps."""
    if kind == "report":
        return Request("POST", "/checkin", text(body).encode(), False)
    if kind == "request":
        method, target, sent = body
        return Request(method, target, sent.encode(), False)
    if kind == "too large":
        return Request("POST", "/checkin", b"", True)
    return None


def handle_owner_steps(given: Any) -> Any:
    """Run steps on the owner of a shard; returns its answers and the statuses it sends."""

    async def scenario_steps() -> Any:
        controller, service, link = _controller(given["records"], given.get("answers", []))
        out: list[Any] = []
        for kind, body in given["steps"]:
            if (request := _request_of(kind, body)) is not None:
                answer = await controller.handle(request)
                out.append([answer.status, answer.body.decode(), answer.retry_after])
            elif kind == "asked":
                said = await controller.on_request(through_frame(body))
                out.append(cbor2.dumps(said).hex())
            elif kind == "tick":
                for scheduler in controller.shard_schedulers.values():
                    scheduler.tick(now(), now(), True)
                    controller.shard_loop.send_status(now(), scheduler)
            elif kind == "wait":
                await anyio.sleep(body)
            elif kind == "records are old":
                controller.records.current_at = -1e9
            elif kind == "falls behind":
                controller.overload.lag_s = 9.0
        return {"answers": out, "sent": link.posted, "asked": service.requests}

    return _result_in_virtual_time(scenario_steps)


def forward_to_peer(given: Any) -> Any:
    """Forward a user's request to a peer; returns the frame sent and the answer to the user."""

    async def scenario_steps() -> Any:
        controller, _, link = _controller([], [], through_frame(given["answer"]))
        for name in ("n1", "n2"):
            controller.peers.state_service_reports[ControllerName(name)] = StateServiceReport(
                now(), True
            )
        method, target, body = given["request"]
        answer = await controller.peers.forward(Request(method, target, body.encode(), False))
        said = None
        if answer is not None:
            said = [answer.status, answer.body.decode(), answer.retry_after]
        return {"sent": link.requests, "answer": said}

    return _result_in_virtual_time(scenario_steps)


# Services


def call_state(given: Any) -> Any:
    """Call the state service; returns the requests sent and the decoded answer."""

    async def scenario_steps() -> Any:
        service = ScriptedService(given["answers"])
        state = StateClient(service, 100.0, 100.0)  # type: ignore[arg-type]
        arguments = given["arguments"]
        calls: dict[str, Callable[..., Coroutine[Any, Any, Any]]] = {
            "one": state.get,
            "all": state.listing,
            "changes": state.changes,
            "transaction": state.transaction,
            "lease": state.new_lease,
            "renewal": state.renew,
        }
        refusals: dict[type[Exception], str] = {
            RequestRefusedError: "refused",
            OutcomeUnknownError: "unknown",
            TransactionConflictError: "conflict",
            ValueTooLargeError: "too large",
            LeaseExpiredError: "no lease",
            RevisionCompactedError: "too old",
        }
        try:
            said = without_field_names(await calls[given["call"]](*arguments))
        except tuple(refusals) as err:
            said = [refusals[type(err)], str(err)]
        remaining = [
            round(budget.available(), 6) for budget in (state.request_budget, state.write_budget)
        ]
        return {"asked": service.requests, "read": said, "left": remaining}

    return _result_in_virtual_time(scenario_steps)


def transactions(given: Any) -> Any:
    """Split writes into transactions, and select the first whole groups for each budget."""
    changes = [
        ConditionalWrite(key, value, 0, WritePriority.URGENT, (), transaction_group_name)
        for key, value, transaction_group_name in given["changes"]
    ]
    limits = settings("n0").deployment.state.lowest()
    cut = split_into_transactions(changes, lambda change: encoded_size(change.value), limits)
    return {
        "cut": [[without_field_names(change)[0] for change in batch] for batch in cut],
        "first": [
            [without_field_names(change)[0] for change in first_whole_groups(changes, max_count)]
            for max_count in range(len(changes) + 1)
        ],
    }


def call_cloud(given: Any) -> Any:
    """Call the cloud; returns the requests sent and the leader's state after the answers."""

    async def scenario_steps() -> Any:
        controller, service, _ = _controller(given["records"], given["answers"])
        leader = _is_leader(controller)
        calls = controller.cloud_calls
        if given["call"] == "rent":
            await calls._provision(leader, given["name"])
        elif given["call"] == "delete":
            await calls._delete(leader, [MachineId(name) for name in given["machines"]])
        elif given["call"] == "catalogue":
            await calls._refresh_catalog(leader)
        else:
            await calls._refresh_machine_list(leader)
        read = [
            leader.provisioning_responses,
            leader.machine_lifecycle.deleted,
            leader.machine_lifecycle.listed,
            leader.types,
        ]
        writes = _changes(leader.plan(now(), now()))
        return {"asked": service.requests, "read": without_field_names(read), "writes": writes}

    return _result_in_virtual_time(scenario_steps)


# Bodies


def submission(given: Any) -> Any:
    """A submission, decoded, or the reason for its rejection."""
    try:
        return without_field_names(parse_submission(given.encode()))
    except MalformedMessageError as err:
        return ["refused", str(err)]


def report(given: Any) -> Any:
    """A worker's heartbeat, decoded."""
    return without_field_names(parse_heartbeat(given.encode()))


def worker_answer(given: Any) -> Any:
    """The encoded answer to a worker's heartbeat."""
    commands = [
        Command(op, TaskRef(JobId(job), TaskIndex(number)), Attempt(attempt), grace)
        for op, job, number, attempt, grace in given["orders"]
    ]
    return encode_heartbeat_response(FencingToken(given["token"]), commands).decode()


def redirection(given: Any) -> Any:
    """The encoded redirect that sends a worker to the owner of its shard."""
    return encode_redirect(given).decode()


def user_answer(given: Any) -> Any:
    """The encoded state of a job for a user."""
    return encode_job_state(*given).decode()


def plan_script(given: Any) -> Any:
    """A partition plan in its stored encoding."""
    return text(msgspec.to_builtins(plan.parse("plan.star", given)))


def operators(given: Any) -> Any:
    """The output of the command line for a controller's answer, as text and as JSON."""

    async def said(*_: Any, **__: Any) -> Any:
        return given["said"]

    asked = client.partitions if given["arguments"][0] == "shares" else client.status
    with patch.object(client, asked.__name__, said):
        result = CliRunner().invoke(cli.main, given["arguments"])
    lines = (
        commands.partition_lines if given["arguments"][0] == "shares" else status_text.status_lines
    )
    return {"printed": result.output, "code": result.exit_code, "lines": lines(given["said"])}


def command(given: Any) -> Any:
    """The message that the command line sends to a controller, with its output."""
    sent: list[str] = []

    async def record_message(_: str, message: Any) -> Any:
        sent.append(cbor2.dumps(message).hex())
        return given["said"]

    with patch.object(client, client._request_peer.__name__, record_message):
        result = CliRunner().invoke(cli.main, given["arguments"])
    return {"sent": sent, "printed": result.output, "code": result.exit_code}


def frame(given: Any) -> Any:
    """An encoded frame with its length prefix."""
    return peer._encode_frame(given).hex()


def operators_script(given: Any) -> Any:
    """The settings of an operators' script, as the command line prints them."""
    return text(msgspec.to_builtins(script.parse("a.star", given)))


def platform_settings(given: Any) -> Any:
    """The platform's settings file, decoded."""
    return without_field_names(config.parse(text(given).encode()))


def estimates(given: Any) -> Any:
    """The estimates that owners of shards exchange."""
    known = Estimates()
    known.merge(given)
    return without_field_names(known.dump())


WRITERS: dict[str, Writer] = {
    "records": rewrite,
    "places": write_placements,
    "grants": write_assignments,
    "cut": write_conversion,
    "leftovers": write_removals,
    "widened": write_cancelled,
    "machines": write_machines,
    "messages": exchange_messages,
    "part": handle_owner_steps,
    "to peer": forward_to_peer,
    "state": call_state,
    "transactions": transactions,
    "script": operators_script,
    "settings": platform_settings,
    "cloud": call_cloud,
    "submission": submission,
    "report": report,
    "worker": worker_answer,
    "redirect": redirection,
    "user": user_answer,
    "plan": plan_script,
    "operators": operators,
    "command": command,
    "frame": frame,
    "estimates": estimates,
}


# Scenarios with a record of everything that is sent

IDS = re.compile(r"^(run-|vm-|[rox]-|n\d|dw/|[a-z](/|$)|[a-z]\d+$)")


def field_paths(value: Any, place: str = "") -> set[str]:
    """The paths of all fields in a value, with IDs of jobs, machines and others replaced by "*".

    Single-word strings are mostly states, so their values are part of the path.
    """
    if isinstance(value, dict):
        keys = [(("*" if IDS.match(str(key)) else str(key)), item) for key, item in value.items()]
        return {place}.union(*(field_paths(item, f"{place}.{key}") for key, item in keys))
    if isinstance(value, list):
        return {place}.union(*(field_paths(item, f"{place}[]") for item in value))
    if isinstance(value, str) and re.fullmatch(r"[a-z_]{2,}", value):
        return {f"{place}={value}"}
    return {f"{place}:{type(value).__name__}"}


class SentMessages:
    """The messages of a scenario by kind: a hash of all, and a sample for each new field."""

    def __init__(self) -> None:
        self._sums: dict[str, Any] = {}
        self._counts: dict[str, int] = {}
        self._seen: dict[str, set[str]] = {}
        self._samples: dict[str, list[str]] = {}

    def add(self, kind: str, sent: str, value: Any) -> None:
        """Add a message, given in its encoded form and as plain values."""
        self._sums.setdefault(kind, hashlib.sha256()).update(sent.encode() + b"\n")
        self._counts[kind] = self._counts.get(kind, 0) + 1
        fields, seen = field_paths(value), self._seen.setdefault(kind, set())
        samples = self._samples.setdefault(kind, [])
        if not fields <= seen:
            samples.append(sent)
        seen |= fields

    def summary(self) -> dict[str, Any]:
        """The number, the hash and the samples of the messages of each kind."""
        return {
            kind: {
                "count": self._counts[kind],
                "sha256": self._sums[kind].hexdigest(),
                "samples": self._samples[kind],
            }
            for kind in sorted(self._sums)
        }


REFUSED = [
    "",
    "[]",
    "{}",
    '{"name_id": "x"}',
    '{"name_id": "run-1", "shape": "x"}',
    '{"name_id": "run-1", "shape": "sweep", "urgency": "x"}',
    '{"name_id": "run-1", "shape": "sweep", "urgency": "urgent", "pieces": 0}',
]

PLAN = """
shares = {
    "night": {"teams": ["red"], "rules": [{"types": ["c8"], "most": 0.0}]},
    "day": {"teams": ["blue"], "rules": [{"types": ["c8"], "most": 0.0}]},
}
hold_orders_s = 600
move_within_s = 40
"""


def _plain(raw: bytes | str | None) -> Any:
    return json.loads(raw) if raw else None


def _recorded_scenario(
    world: World, sent_messages: SentMessages, script: Any, length: float
) -> None:
    """Run a scenario and record the messages and answers of controllers."""
    call, post, ask, handle = Wire.request, Link.post, Link.request, Controller.handle

    async def record_call(
        self: Wire, method: str, target: str, body: bytes | None, within: float
    ) -> tuple[int, bytes]:
        service = "state" if self.service is world.state else "cloud"
        path = target.partition("?")[0]
        said = _plain(body)
        sent_messages.add(
            f"{service} {method} {re.sub('[0-9]+', '*', '/'.join(path.split('/')[:3]))}",
            text([target, None if body is None else body.decode()]),
            said,
        )
        for item in said.get("apply", []) if isinstance(said, dict) else ():
            if "write" in item:
                kind = re.match(r"dw/(\w/|\w+)", item["write"])
                assert kind is not None
                sent_messages.add(
                    f"record {kind[0]}", text([item["write"], item["data"]]), item["data"]
                )
        return await call(self, method, target, body, within)

    def record_post(self: Link, kind: str, message: dict[str, Any]) -> None:
        plain = json.loads(json.dumps(through_frame(message)))
        sent_messages.add(f"message {plain['kind']}", cbor2.dumps(message).hex(), plain)
        post(self, kind, message)

    async def record_ask(self: Link, message: dict[str, Any], within: float) -> Any:
        frame = cbor2.dumps(message).hex()
        sent_messages.add(f"question {message['kind']}", frame, {"keys": list(message)})
        return await ask(self, message, within)

    async def record_handle(self: Controller, request: Request) -> Any:
        answer = await handle(self, request)
        of = "worker" if request.target == "/checkin" else f"user {request.method}"
        sent = text([answer.status, answer.body.decode(), answer.retry_after])
        sent_messages.add(f"answer to {of} {answer.status}", sent, _plain(answer.body))
        return answer

    async def main() -> None:
        await world.run_scenario(length, script)

    with (
        patch.object(Wire, call.__name__, record_call),
        patch.object(Link, post.__name__, record_post),
        patch.object(Link, ask.__name__, record_ask),
        patch.object(Controller, handle.__name__, record_handle),
        patch.object(time, "time_ns", lambda: 1),
    ):
        run_in_virtual_time(main)
    assert world.violations == []


async def _operator(
    world: World, sent_messages: SentMessages, kind: str, message: dict[str, Any]
) -> Any:
    """Send an operator's request to controller n0, and record the answer."""
    said = await world.controllers["n0"].on_request(through_frame(message))
    frame = cbor2.dumps(said)
    sent_messages.add(f"operator {kind}", frame.hex(), json.loads(json.dumps(cbor2.loads(frame))))
    return said


def _submit(world: World, job: str, cancel_after: float | None = None, **fields: Any) -> None:
    body = world.job(name_id=job, **fields)
    world.group.start_soon(world.user, job, body, cancel_after)


def batch_scenario() -> dict[str, Any]:
    """The messages of a scenario without partitions.

    It has arrays, gangs, services, cancellations, rejected requests, a restart, and a controller
    that the state service refuses.
    """
    sent_messages = SentMessages()
    world = World(5)
    world.boot_s = (0.5, 2.0)

    async def script() -> None:
        await anyio.sleep(4.0)
        _submit(world, "run-000001", pieces=9, true_s=4.0)
        _submit(world, "run-000002", pieces=2, shape="group", true_s=5.0, scatter=True)
        _submit(
            world,
            "run-000003",
            cancel_after=14.0,
            pieces=2,
            shape="daemon",
            urgency="critical",
            expected_s=0.0,
            borrowed=False,
        )
        _submit(world, "run-000004", pieces=400, true_s=3.0, cancel_after=9.0, cpus=0.2)
        _submit(
            world,
            "run-000005",
            pieces=1,
            accelerators=1.0,
            builds=["g8"],
            yard="a",
            due_s=90.0,
            fold_s=5.0,
            borrowed=False,
            same_place=True,
        )
        await anyio.sleep(4.0)
        for body in REFUSED:
            await world.controllers["n0"].handle(Request("POST", "/v2/runs", body.encode(), False))
        changes: list[dict[str, Any]] = [
            {"crew": "none"},
            {"yard": "none"},
            {"cpus": 99.0},
            {"yard": "a", "scatter": True},
            {"builds": ["none"]},
            {"accelerators": 2.0, "pieces": 4},
            {"bundle": "\u20ac" * 200, "kit": "\u20ac" * 200},
        ]
        for change in changes:
            asked = world.job(name_id="run-000099", shape="group", **change)
            raw = json.dumps({k: v for k, v in asked.items() if k != "true_s"}).encode()
            await world.ask("POST", "/v2/runs", raw)
        for method, path in (
            ("GET", "/v2/runs/run-0"),
            ("POST", "/v2/runs/run-0/abort"),
            ("GET", "/v2/runs"),
            ("POST", "/v2/runs/run-0"),
            ("GET", "/v2/runs/run-0/abort"),
            ("GET", "/healthz"),
        ):
            await world.controllers["n0"].handle(Request(method, path, b"", False))
        await _operator(world, sent_messages, "status", {"kind": "status"})
        world.modes["n1", "state"] = "refused"
        await anyio.sleep(0.5)
        for name in world.names:
            await world.controllers[name].handle(Request("GET", "/v2/runs/run-000004", b"", False))
        await anyio.sleep(1.5)
        del world.modes["n1", "state"]
        world.crash("n2")
        await anyio.sleep(1.0)
        world.start_controller("n2")

    _recorded_scenario(world, sent_messages, script, 32.0)
    return sent_messages.summary()


def partition_scenario() -> dict[str, Any]:
    """The messages of a scenario in which machines move between partitions."""
    sent_messages = SentMessages()
    world = World(11)
    world.partition_plan = plan.parse("plan.star", PLAN)
    world.boot_s = (0.5, 2.0)
    shares = {"kind": "shares"}

    async def script() -> None:
        await anyio.sleep(5.0)
        known: dict[str, Any] = {"yard": "a", "builds": ["c8"], "borrowed": False}
        _submit(world, "run-000001", pieces=16, true_s=9.0, expected_s=200.0, **known)
        await anyio.sleep(9.0)
        order = {
            "verb": "move",
            "zone": "a",
            "type": "c8",
            "source": "",
            "target": "night",
            "count": 2,
        }
        await _operator(world, sent_messages, "move", {**shares, **order, "id": "o-000000f1"})
        await _operator(world, sent_messages, "show", {**shares, "verb": "show"})
        await _operator(
            world, sent_messages, "move", {**shares, **order, "count": 900, "id": "o-000000f2"}
        )
        await _operator(
            world, sent_messages, "move", {**shares, **order, "id": "o-000000f3", "count": 1}
        )
        await _operator(
            world, sent_messages, "cancel", {**shares, "verb": "cancel", "id": "o-000000f3"}
        )
        await _operator(
            world, sent_messages, "cancel", {**shares, "verb": "cancel", "id": "o-000000f9"}
        )
        await _operator(world, sent_messages, "unknown", {**shares, "verb": "none"})
        given = msgspec.to_builtins(world.partition_plan)
        await _operator(world, sent_messages, "plan", {**shares, "verb": "plan", "plan": given})
        await anyio.sleep(10.0)
        await _operator(world, sent_messages, "show", {**shares, "verb": "show"})
        await _operator(world, sent_messages, "plan", {**shares, "verb": "plan", "plan": None})

    _recorded_scenario(world, sent_messages, script, 34.0)
    return sent_messages.summary()


SCENARIOS: dict[str, Callable[[], dict[str, Any]]] = {
    "without shares": batch_scenario,
    "shares": partition_scenario,
}
