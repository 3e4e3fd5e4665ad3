"""Whether this process plans as the leader now, and what wakes its planning."""

from __future__ import annotations

from dapplewick.coordination.wake import WakeSignal
from dapplewick.core.leader.planner import LeaderPlanner


class Leadership:
    """The planner of the present term, if this process leads.

    Attributes:
        planner: the planner of the present term; None while this process does not lead.
        pass_wake: there is something to plan.
        urgent_wake: work waits for it, so that the leader does not rest first.
    """

    def __init__(self) -> None:
        self.planner: LeaderPlanner | None = None
        self.pass_wake = WakeSignal()
        self.urgent_wake = WakeSignal()

    def request_pass(self, urgent: bool = False) -> None:
        """Ask for a planning pass.

        Args:
            urgent: work waits for it, so the leader is not to rest before it.
        """
        self.pass_wake.set()
        if urgent:
            self.urgent_wake.set()
