"""The users' interface on the wire: submissions and the states of jobs."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.protocol.job_spec import JOB_ID, JobSpec
from dapplewick.types import (
    JobId,
)

MAX_TASKS = 100_000
PRIORITIES = {"critical": 3, "urgent": 2, "standard": 1, "best_effort": 0}


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
