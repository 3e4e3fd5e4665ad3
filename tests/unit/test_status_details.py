"""Violated invariants and waiting work in a controller's status."""

from __future__ import annotations

from typing import Any

import anyio
import cbor2

import standins
from dapplewick.cli.status_text import status_lines
from dapplewick.controller.controller import Controller
from dapplewick.core.estimates import Estimates
from dapplewick.core.invariants import Invariant
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.leader.wait_reasons import WaitingGroup
from dapplewick.types import FencingToken


def status(controller: Controller) -> dict[str, Any]:
    """Return a controller's status after encoding and decoding, as a client receives it."""
    decoded: dict[str, Any] = cbor2.loads(cbor2.dumps(controller.status.describe()))
    return decoded


def test_a_status_contains_violations_and_waiting_groups_only_if_there_are_any() -> None:
    async def main() -> None:
        controller = Controller(standins.settings("n0"), clock=lambda: 5.0, seed=1)
        assert not {"violations", "waiting"} & status(controller).keys()
        before = status_lines(status(controller))
        controller.invariants.record_violation(Invariant.SHARDS_IN_CONTACT)
        controller.invariants.record_violation(Invariant.SHARDS_IN_CONTACT)
        planner = LeaderPlanner(
            controller.cache, controller.settings, Estimates(), FencingToken(9), 0.0
        )
        planner.wait_reasons.groups = [
            WaitingGroup("largest route", 75.5, 3, {"over_limit": 2, "no_slot": 1})
        ]
        controller.leadership.planner = planner
        described = status(controller)
        assert described["violations"] == {"shards_are_heard": 2}
        assert described["waiting"] == [
            {
                "name": "largest route",
                "oldest_s": 75.5,
                "jobs": 3,
                "reasons": {"over_limit": 2, "no_slot": 1},
            }
        ]
        assert status_lines(described)[len(before) :] == [
            "violated shards_are_heard  count 2",
            "waiting largest route  jobs 3  oldest 76 s  over_limit 2  no_slot 1",
        ]

    anyio.run(main)
