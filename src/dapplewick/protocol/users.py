"""The users' wire protocol: job submissions and job states."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.protocol.job_spec import JOB_ID_PATTERN, JobSpec
from dapplewick.types import (
    JobId,
)

MAX_TASKS = 100_000
MAX_TEXT_CHARACTERS = 200
PRIORITIES = {"critical": 3, "urgent": 2, "standard": 1, "best_effort": 0}


class JobShape(StrEnum):
    """The kind of a job; the values are those on the wire."""

    ARRAY = "sweep"
    GANG = "group"
    SERVICE = "daemon"


class JobStage(StrEnum):
    """The stage of a job as users see it; the values are those on the wire."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


class Submission(NamedTuple):
    """A parsed job submission."""

    job_id: JobId
    spec: JobSpec


_SHAPES = {shape.value: shape for shape in JobShape}


def _number(body: dict[str, Any], field: str, minimum: float = 0.0) -> float:
    value = body.get(field)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedMessageError(f"{field}: a number is needed")
    try:
        value = float(value)
    except OverflowError:
        raise MalformedMessageError(f"{field}: out of range") from None
    if not math.isfinite(value) or value < minimum:
        raise MalformedMessageError(f"{field}: out of range")
    return value


def _string(body: dict[str, Any], field: str) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise MalformedMessageError(f"{field}: a text is needed")
    return value


def _boolean(body: dict[str, Any], field: str) -> bool:
    value = body.get(field)
    if not isinstance(value, bool):
        raise MalformedMessageError(f"{field}: true or false is needed")
    return value


def _decoded_object(raw: bytes) -> dict[str, Any]:
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise MalformedMessageError("not JSON") from None
    if not isinstance(body, dict):
        raise MalformedMessageError("not an object")
    return body


def _job_id(body: dict[str, Any]) -> JobId:
    job = _string(body, "name_id")
    if not JOB_ID_PATTERN.match(job):
        raise MalformedMessageError("name_id: not a job id")
    return JobId(job)


def _shape(body: dict[str, Any]) -> JobShape:
    shape = body.get("shape")
    if not isinstance(shape, str) or shape not in _SHAPES:
        raise MalformedMessageError("shape: sweep, group or daemon is needed")
    return _SHAPES[shape]


def _priority(body: dict[str, Any]) -> int:
    urgency = body.get("urgency")
    if not isinstance(urgency, str) or urgency not in PRIORITIES:
        raise MalformedMessageError("urgency: unknown")
    return PRIORITIES[urgency]


def _task_count(body: dict[str, Any]) -> int:
    tasks = body.get("pieces")
    if isinstance(tasks, bool) or not isinstance(tasks, int) or not 1 <= tasks <= MAX_TASKS:
        raise MalformedMessageError("pieces: a number from 1 to 100000 is needed")
    return tasks


def _machine_types(body: dict[str, Any]) -> list[str] | None:
    types = body.get("builds")
    if types is not None and (
        not isinstance(types, list) or not types or not all(isinstance(t, str) for t in types)
    ):
        raise MalformedMessageError("builds: null or a list of types is needed")
    return types


def _zone(body: dict[str, Any]) -> str | None:
    zone = body.get("yard")
    if zone is not None and not isinstance(zone, str):
        raise MalformedMessageError("yard: null or a text is needed")
    return zone


def parse_submission(raw: bytes) -> Submission:
    """Validate a submission and convert it to a job specification.

    Raises:
        MalformedMessageError: the submission violates the protocol; the message names the first
            invalid field.
    """
    body = _decoded_object(raw)
    # The order of these calls decides which of several invalid fields the error names.
    job_id = _job_id(body)
    shape = _shape(body)
    priority = _priority(body)
    task_count = _task_count(body)
    types = _machine_types(body)
    zone = _zone(body)
    deadline_s = None if body.get("due_s") is None else _number(body, "due_s")
    spec = JobSpec(
        job_class=_string(body, "bundle"),
        team=_string(body, "crew"),
        is_gang=shape == JobShape.GANG,
        priority=priority,
        task_count=task_count,
        cpus=_number(body, "cpus"),
        gpus=_number(body, "accelerators"),
        ram_gb=_number(body, "ram_gb"),
        image=_string(body, "kit"),
        image_gb=_number(body, "image_gb"),
        estimated_run_s=_number(body, "expected_s"),
        types=types,
        zone=zone,
        same_zone=_boolean(body, "same_place"),
        spread=_boolean(body, "scatter"),
        spot=_boolean(body, "borrowed"),
        checkpoint_interval_s=_number(body, "fold_s"),
        save_s=_number(body, "press_s"),
        deadline_s=deadline_s,
        is_service=shape == JobShape.SERVICE,
    )
    return Submission(job_id, spec)


def encode_job_state(
    job: str, stage: str, done: int | None = None, running: int | None = None
) -> bytes:
    """Encode a job's state for users; `stage` is a `JobStage`, the counts are of tasks."""
    body: dict[str, Any] = {"name_id": job, "stage": stage}
    if done is not None:
        body["done"] = done
    if running is not None:
        body["running"] = running
    return msgspec.json.encode(body)
