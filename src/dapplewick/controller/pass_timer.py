"""Measures how long each step of the leader's planning passes takes."""

from __future__ import annotations

import logging
from collections.abc import Callable

from dapplewick.core.leader.planning_steps import PlanningStep
from dapplewick.types import Seconds

log = logging.getLogger(__name__)

SLOW_PASS_S = 1.0  # a process that stands still for longer refuses users' requests


class PassTimer:
    """Times one planning pass after the other.

    Each step is logged when it begins, so that the last line of a controller that no longer answers
    names the step in which it hangs.
    """

    def __init__(self, now: Callable[[], Seconds]) -> None:
        self._now = now
        self._pass_began_at: Seconds = 0.0
        self._step_began_at: Seconds = 0.0
        self._step: PlanningStep | None = None
        self._durations_s: dict[PlanningStep, Seconds] = {}

    def begin_pass(self) -> None:
        """Begin a pass; a pass that was not ended is dropped."""
        self._pass_began_at = self._now()
        self._step = None
        self._durations_s.clear()

    def begin_step(self, step: PlanningStep) -> None:
        """Begin the next step of the pass and end the one before."""
        now = self._now()
        self._end_step(now)
        self._step, self._step_began_at = step, now
        log.debug("event=planning_step_began step=%s", step)

    def end_pass(self) -> None:
        """End the pass and log its steps if it was slow."""
        now = self._now()
        self._end_step(now)
        self._step = None
        duration_s = now - self._pass_began_at
        if duration_s > SLOW_PASS_S:
            log.info(
                "event=planning_pass_slow duration_s=%.1f steps=%s",
                duration_s,
                ",".join(f"{step}:{took_s:.1f}" for step, took_s in self._durations_s.items()),
            )

    def _end_step(self, now: Seconds) -> None:
        if self._step is not None:
            self._durations_s[self._step] = now - self._step_began_at
