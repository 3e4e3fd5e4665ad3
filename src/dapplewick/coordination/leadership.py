"""Whether this process currently leads, and the signals that start its planning passes."""

from __future__ import annotations

from dapplewick.coordination.wake import WakeSignal
from dapplewick.core.leader.planner import LeaderPlanner


class Leadership:
    """The planner of the current term, if this process leads.

    Attributes:
        planner: the planner of the current term; None while this process does not lead.
        pass_wake: set when a change requires a planning pass.
        urgent_wake: set when work is waiting for the next pass, which ends the delay between
            passes.
    """

    def __init__(self) -> None:
        self.planner: LeaderPlanner | None = None
        self.pass_wake = WakeSignal()
        self.urgent_wake = WakeSignal()

    def request_pass(self, urgent: bool = False) -> None:
        """Request a planning pass.

        Args:
            urgent: whether work is waiting for the pass, so that it begins without the usual delay.
        """
        self.pass_wake.set()
        if urgent:
            self.urgent_wake.set()
