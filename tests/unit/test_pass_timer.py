"""Timing of the leader's planning passes."""

from __future__ import annotations

import logging

import pytest

from dapplewick.controller.pass_timer import SLOW_PASS_S, PassTimer
from dapplewick.core.leader.planning_steps import PlanningStep


@pytest.mark.parametrize(("took_s", "logged"), [(SLOW_PASS_S, False), (SLOW_PASS_S + 0.5, True)])
def test_a_slow_pass_is_logged_with_the_time_of_each_step(
    took_s: float, logged: bool, caplog: pytest.LogCaptureFixture
) -> None:
    clock = [5.0]
    timer = PassTimer(lambda: clock[0])
    with caplog.at_level(logging.DEBUG):
        timer.begin_pass()
        timer.begin_step(PlanningStep.RECONCILE)
        timer.begin_step(PlanningStep.PLACE_GANGS)
        clock[0] += took_s
        timer.end_pass()
    began, slow = caplog.messages[:2], caplog.messages[2:]
    assert [message.split("step=")[1] for message in began] == ["reconcile", "place_gangs"]
    expected = "event=planning_pass_slow duration_s=1.5 steps=reconcile:0.0,place_gangs:1.5"
    assert slow == ([expected] if logged else [])
