"""Stand-ins for the state service, the cloud, the workers and the users, in virtual time.

The stand-ins follow the published protocols and check the users' rules during a scenario. A
seeded random generator and an event loop with a virtual clock drive them, so that each scenario
repeats exactly.
"""

from standins.answers import AnswerHistory
from standins.cloud import Cloud
from standins.deployment import (
    LOWERED_LIMITS,
    TEAMS,
    TYPES,
    WORKERS,
    ZONES,
    deployment,
    settings,
    zone_of,
)
from standins.network import Link, Wire
from standins.rules import RuleChecker
from standins.state_service import StateService
from standins.virtual_time import now, run_in_virtual_time
from standins.worker import TaskRun, Worker
from standins.world import World

__all__ = [
    "LOWERED_LIMITS",
    "TEAMS",
    "TYPES",
    "WORKERS",
    "ZONES",
    "AnswerHistory",
    "Cloud",
    "Link",
    "RuleChecker",
    "StateService",
    "TaskRun",
    "Wire",
    "Worker",
    "World",
    "deployment",
    "now",
    "run_in_virtual_time",
    "settings",
    "zone_of",
]
