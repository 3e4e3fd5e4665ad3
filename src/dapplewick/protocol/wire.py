"""The wire formats: names used on the wire stay in this layer."""

from __future__ import annotations

import math
import re
from functools import cached_property, lru_cache
from typing import Any, NamedTuple

import msgspec

from dapplewick.types import (
    Attempt,
    FencingToken,
    JobId,
    MachineId,
    Resources,
    Seconds,
    TaskIndex,
    TaskRef,
    TypeName,
    Zone,
)

JOB_ID = re.compile(r"run-[A-Za-z0-9_-]{1,100}\Z")
MAX_TASKS = 100_000
MAX_COUNT = 1 << 64
KNOWN_TASKS = 20_000  # names of tasks kept, about 4 MB; more are parsed anew each time
PRIORITIES = {"critical": 3, "urgent": 2, "standard": 1, "best_effort": 0}


class MalformedMessageError(Exception):
    """A body that breaks the protocol; the text is a short reason."""


PlacementKey = tuple[Any, ...]


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True, dict=True):
    """What a user asks for. What is computed of it is computed once (`dict`)."""

    job_class: str = msgspec.field(name="bundle")
    team: str
    is_gang: bool = msgspec.field(name="gang")
    priority: int = msgspec.field(name="rank")
    task_count: int = msgspec.field(name="tasks")
    cpus: float
    gpus: float
    ram_gb: float = msgspec.field(name="ram")
    image: str
    image_gb: float
    estimated_run_s: float = msgspec.field(name="estimate")
    types: list[str] | None = msgspec.field(name="types", default=None)
    zone: str | None = None
    same_zone: bool = msgspec.field(name="one_zone", default=False)
    spread: bool = False
    spot: bool = False
    checkpoint_interval_s: float = msgspec.field(name="checkpoint", default=0.0)
    save_s: float = msgspec.field(name="save", default=0.0)
    deadline_s: float | None = msgspec.field(name="deadline", default=None)
    # A service: its tasks are replicas, and run until it is cancelled.
    is_service: bool = msgspec.field(name="daemon", default=False)

    @cached_property
    def resources(self) -> Resources:
        return Resources(self.cpus, self.gpus, self.ram_gb)

    @cached_property
    def placement_key(self) -> PlacementKey:
        """What decides where a task fits: of jobs that are alike in it one is looked at."""
        return (
            self.resources,
            tuple(self.types or ()),
            self.spot,
            self.zone,
            self.priority,
            self.is_gang,
            self.is_service,
        )

    @property
    def zone_cap(self) -> int:
        """How many tasks may be in one zone."""
        return (self.task_count + 1) // 2 if self.spread else self.task_count


def _amount(body: dict[str, Any], field: str, least: float = 0.0) -> float:
    value = body.get(field)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedMessageError(f"{field}: a number is needed")
    try:
        value = float(value)
    except OverflowError:
        raise MalformedMessageError(f"{field}: out of range") from None
    if not math.isfinite(value) or value < least:
        raise MalformedMessageError(f"{field}: out of range")
    return value


def _text(body: dict[str, Any], field: str) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= 200:
        raise MalformedMessageError(f"{field}: a text is needed")
    return value


def _flag(body: dict[str, Any], field: str) -> bool:
    value = body.get(field)
    if not isinstance(value, bool):
        raise MalformedMessageError(f"{field}: true or false is needed")
    return value


def parse_submission(raw: bytes) -> tuple[JobId, JobSpec]:
    """Check a submission and give it in our own terms."""
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise MalformedMessageError("not JSON") from None
    if not isinstance(body, dict):
        raise MalformedMessageError("not an object")
    job = _text(body, "name_id")
    if not JOB_ID.match(job):
        raise MalformedMessageError("name_id: not a job id")
    shape = body.get("shape")
    if shape not in ("sweep", "group", "daemon"):
        raise MalformedMessageError("shape: sweep, group or daemon is needed")
    urgency = body.get("urgency")
    if not isinstance(urgency, str) or urgency not in PRIORITIES:
        raise MalformedMessageError("urgency: unknown")
    tasks = body.get("pieces")
    if isinstance(tasks, bool) or not isinstance(tasks, int) or not 1 <= tasks <= MAX_TASKS:
        raise MalformedMessageError("pieces: a number from 1 to 100000 is needed")
    types = body.get("builds")
    if types is not None and (
        not isinstance(types, list) or not types or not all(isinstance(t, str) for t in types)
    ):
        raise MalformedMessageError("builds: null or a list of types is needed")
    zone = body.get("yard")
    if zone is not None and not isinstance(zone, str):
        raise MalformedMessageError("yard: null or a text is needed")
    deadline = None if body.get("due_s") is None else _amount(body, "due_s")
    spec = JobSpec(
        job_class=_text(body, "bundle"),
        team=_text(body, "crew"),
        is_gang=shape == "group",
        priority=PRIORITIES[urgency],
        task_count=tasks,
        cpus=_amount(body, "cpus"),
        gpus=_amount(body, "accelerators"),
        ram_gb=_amount(body, "ram_gb"),
        image=_text(body, "kit"),
        image_gb=_amount(body, "image_gb"),
        estimated_run_s=_amount(body, "expected_s"),
        types=types,
        zone=zone,
        same_zone=_flag(body, "same_place"),
        spread=_flag(body, "scatter"),
        spot=_flag(body, "borrowed"),
        checkpoint_interval_s=_amount(body, "fold_s"),
        save_s=_amount(body, "press_s"),
        deadline_s=deadline,
        is_service=shape == "daemon",
    )
    return JobId(job), spec


def encode_job_state(
    job: str, stage: str, done: int | None = None, running: int | None = None
) -> bytes:
    body: dict[str, Any] = {"name_id": job, "stage": stage}
    if done is not None:
        body["done"] = done
    if running is not None:
        body["running"] = running
    return msgspec.json.encode(body)


# Workers


class _TaskStatusBody(msgspec.Struct):
    piece: str
    try_: int = msgspec.field(name="try")
    stage: str = ""
    cause: str | None = None
    saved: bool | None = None


class _HeartbeatBody(msgspec.Struct):
    loom: str
    build: str
    yard: str
    borrowed: bool
    shift: int
    tally: int
    baton: int
    pieces: list[_TaskStatusBody]
    endpoint: str = ""
    recall_s: float | None = None


class TaskStatus(NamedTuple):
    task: TaskRef
    attempt: Attempt
    stage: str
    cause: str | None
    saved: bool


class Heartbeat(NamedTuple):
    machine: MachineId
    type: TypeName
    zone: Zone
    spot: bool
    incarnation: int
    sequence: int
    token: FencingToken
    spot_notice_s: Seconds | None
    address: str
    tasks: list[TaskStatus]


_heartbeat = msgspec.json.Decoder(_HeartbeatBody)


@lru_cache(maxsize=KNOWN_TASKS)
def parse_task(name: str) -> TaskRef:
    """A task is named in each report while it is on its machine, so its name is kept."""
    job, slash, index = name.rpartition("/")
    if not slash or not index.isdigit() or len(index) > 9:
        raise MalformedMessageError("piece: not a task")
    return TaskRef(JobId(job), TaskIndex(int(index)))


def parse_heartbeat(raw: bytes) -> Heartbeat:
    try:
        body = _heartbeat.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from None
    for value in (body.shift, body.tally, body.baton):
        if not 0 <= value < MAX_COUNT:
            raise MalformedMessageError("shift, tally or baton: out of range")
    tasks = [
        TaskStatus(parse_task(p.piece), Attempt(p.try_), p.stage, p.cause, bool(p.saved))
        for p in body.pieces
    ]
    return Heartbeat(
        MachineId(body.loom),
        TypeName(body.build),
        Zone(body.yard),
        body.borrowed,
        body.shift,
        body.tally,
        FencingToken(body.baton),
        body.recall_s,
        body.endpoint,
        tasks,
    )


class Command(NamedTuple):
    """A command to a worker. `grace` is only for stops."""

    op: str
    task: TaskRef
    attempt: Attempt
    grace: Seconds = 0.0


_VERBS = {"start": "launch", "stop": "kill", "forget": "forget"}


def encode_heartbeat_response(token: FencingToken, commands: list[Command]) -> bytes:
    out = []
    for command in commands:
        item: dict[str, Any] = {
            "verb": _VERBS[command.op],
            "piece": f"{command.task.job}/{command.task.number}",
            "try": command.attempt,
        }
        if command.op == "stop":
            item["wind_down_s"] = command.grace
        out.append(item)
    return msgspec.json.encode({"baton": token, "orders": out})


def encode_redirect(owner: str | None) -> bytes:
    return msgspec.json.encode({} if owner is None else {"foreman": owner})


# Cloud


class MachineType(msgspec.Struct):
    """A type of machine, as the cloud offers it."""

    name: str = msgspec.field(name="sku")
    cpus: float = 0.0
    gpus: float = msgspec.field(name="accelerators", default=0.0)
    ram_gb: float = msgspec.field(name="ram_gb", default=0.0)
    fetch_rate: float = msgspec.field(name="fetch_gb_per_s", default=0.1)
    price: float = msgspec.field(name="hourly", default=1.0)
    spot_price: float = msgspec.field(name="low_price", default=1.0)
    boot_s: float = msgspec.field(name="ready_s", default=60.0)
    zones: list[str] = msgspec.field(name="yards", default_factory=list)

    @property
    def resources(self) -> Resources:
        return Resources(self.cpus, self.gpus, self.ram_gb)


class _Catalog(msgspec.Struct):
    builds: list[MachineType]


class _ProvisionedMachines(msgspec.Struct):
    looms: list[str]


class ListedMachine(msgspec.Struct):
    machine: str = msgspec.field(name="name_id")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="borrowed")
    state: str = msgspec.field(name="stage")
    age: float = msgspec.field(name="held_s")
    address: str = msgspec.field(name="endpoint", default="")


class MachineList(msgspec.Struct):
    machines: list[ListedMachine] = msgspec.field(name="looms")
    more: bool = False


def parse_catalog(raw: bytes) -> list[MachineType]:
    return msgspec.json.decode(raw, type=_Catalog).builds


def decode_machine_types(value: Any) -> list[MachineType]:
    return msgspec.convert(value, type=list[MachineType])


def encode_machine_types(types: list[MachineType]) -> Any:
    return msgspec.to_builtins(types)


def encode_provisioning_request(
    request: str, type_: str, zone: str, spot: bool, count: int
) -> bytes:
    return msgspec.json.encode(
        {"booking": request, "build": type_, "yard": zone, "borrowed": spot, "how_many": count}
    )


def parse_provisioned_machines(raw: bytes) -> list[MachineId]:
    return [MachineId(m) for m in msgspec.json.decode(raw, type=_ProvisionedMachines).looms]


def encode_deletion_request(machines: list[MachineId]) -> bytes:
    return msgspec.json.encode({"looms": machines})


def parse_machine_list(raw: bytes) -> MachineList:
    return msgspec.json.decode(raw, type=MachineList)


# State service


class KeyItem(msgspec.Struct):
    key: str
    value: Any = msgspec.field(name="data", default=None)
    version: int = msgspec.field(name="stamp", default=0)


class KeyPage(msgspec.Struct):
    items: list[KeyItem]
    more: bool = False
    revision: int = msgspec.field(name="ledger", default=0)


class Event(msgspec.Struct):
    version: int = msgspec.field(name="stamp")
    put: str | None = msgspec.field(name="write", default=None)
    delete: str | None = msgspec.field(name="remove", default=None)
    value: Any = msgspec.field(name="data", default=None)


class Changes(msgspec.Struct):
    revision: int = msgspec.field(name="ledger")
    events: list[Event]


class TransactionResult(msgspec.Struct):
    revision: int = msgspec.field(name="ledger", default=0)
    failed: list[str] = []


class Lease(msgspec.Struct):
    lease: int = msgspec.field(name="hold")


key_item = msgspec.json.Decoder(KeyItem)
key_page = msgspec.json.Decoder(KeyPage)
changes = msgspec.json.Decoder(Changes)
transaction_result = msgspec.json.Decoder(TransactionResult)
lease = msgspec.json.Decoder(Lease)


def encode_transaction(
    conditions: dict[str, int], puts: dict[str, Any], deletes: list[str], leases: dict[str, int]
) -> bytes:
    """A transaction; `leases` says which of the written keys hang on which lease."""
    apply: list[dict[str, Any]] = []
    for key, value in puts.items():
        item: dict[str, Any] = {"write": key, "data": value}
        if key in leases:
            item["hold"] = leases[key]
        apply.append(item)
    apply.extend({"remove": key} for key in deletes)
    body: dict[str, Any] = {"if": [{"key": k, "stamp": v} for k, v in conditions.items()]}
    if apply:
        body["apply"] = apply
    return msgspec.json.encode(body)


def encode_lease_request(ttl_ms: int) -> bytes:
    return msgspec.json.encode({"life_ms": ttl_ms})
