"""What a job asks for."""

from __future__ import annotations

import re
from functools import cached_property
from typing import Any

import msgspec

from dapplewick.types import (
    Resources,
)

JOB_ID_PATTERN = re.compile(r"run-[A-Za-z0-9_-]{1,100}\Z")


PlacementKey = tuple[Any, ...]


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True, dict=True):
    """What a user asks for. What is computed of it is computed once (`dict`).

    Attributes:
        job_class: the class of jobs that it belongs to, for which the settings have objectives.
        team: whose guarantee and limit apply.
        is_gang: all tasks run at the same time or none does.
        priority: the higher one goes first.
        task_count: tasks are numbered from 0.
        cpus: processors for each task.
        gpus: accelerators for each task.
        ram_gb: memory for each task, in GB.
        image: what a machine must have before a task can start.
        image_gb: its size in GB.
        estimated_run_s: the owner's estimate of a task's run time, often wrong by half.
        types: the allowed types of machines; None: any.
        zone: the only allowed zone; None: any.
        same_zone: all tasks must be in one zone.
        spread: at most half of the tasks, rounded up, may be in one zone.
        spot: spot machines are allowed.
        checkpoint_interval_s: of progress, after which a task saves; 0: it never does.
        save_s: how long a task takes to save when it is stopped.
        deadline_s: when it should be complete, from its submission.
        is_service: its tasks are replicas, and run until it is cancelled.
    """

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
    is_service: bool = msgspec.field(name="daemon", default=False)

    @cached_property
    def resources(self) -> Resources:
        """What each task takes of its machine."""
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
    def max_tasks_per_zone(self) -> int:
        """How many tasks may be in one zone."""
        return (self.task_count + 1) // 2 if self.spread else self.task_count
