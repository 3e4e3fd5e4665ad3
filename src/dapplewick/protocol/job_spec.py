"""The specification of a job."""

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
    """The requirements and properties of a job, as its user submits them.

    With `dict=True`, instances have a `__dict__` that stores the cached properties.

    Attributes:
        job_class: the class of the job; the settings define service level objectives per class.
        team: the team whose guarantee and limit apply to the job.
        is_gang: whether the tasks must all run at the same time.
        priority: jobs with a higher priority have precedence.
        task_count: number of tasks; they are numbered from 0.
        cpus: processors for each task.
        gpus: accelerators for each task.
        ram_gb: memory for each task, in GB.
        image: the image that a machine must have fetched before a task can start.
        image_gb: size of the image in GB.
        estimated_run_s: the user's estimate of a task's run time in seconds, often wrong by half.
        types: the allowed machine types; None: any.
        zone: the only allowed zone; None: any.
        same_zone: whether all tasks must run in one zone.
        spread: whether at most half of the tasks, rounded up, may run in one zone.
        spot: whether tasks may run on spot machines.
        checkpoint_interval_s: run time in seconds between a task's checkpoints; 0: none are saved.
        save_s: seconds that a task needs to save its progress when it is stopped.
        deadline_s: seconds from submission within which the job should complete; None: no deadline.
        is_service: whether the tasks are replicas that run until the job is cancelled.
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
        """The resources that each task occupies on its machine."""
        return Resources(self.cpus, self.gpus, self.ram_gb)

    @cached_property
    def placement_key(self) -> PlacementKey:
        """All properties that decide where a task fits.

        Placement evaluates only one of several jobs with the same key.
        """
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
        """The maximum number of tasks in one zone."""
        return (self.task_count + 1) // 2 if self.spread else self.task_count
