"""Priorities of running work with regard to preemption."""

from __future__ import annotations

# The priority of running gang tasks and service replicas in shard statuses: higher than that of any
# job, so that no job preempts them.
NON_PREEMPTIBLE_PRIORITY = 99
