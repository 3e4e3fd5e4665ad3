"""What must hold at run time, and how often it did not: a violation ends nothing."""

from __future__ import annotations

from enum import StrEnum


class Invariant(StrEnum):
    """An invariant that a controller asserts while it runs."""

    SHARDS_IN_CONTACT = "shards_are_heard"
    LIMITS_ARE_RELEASED = "limits_are_given_back"


class InvariantCounts:
    """How often each invariant was violated since the process started.

    Whoever finds a violation logs it as one error event, with its evidence.

    Attributes:
        violations: The count of each; those that always held are not named.
    """

    def __init__(self) -> None:
        self.violations: dict[Invariant, int] = {}

    def record_violation(self, invariant: Invariant) -> None:
        """Count one violation."""
        self.violations[invariant] = self.violations.get(invariant, 0) + 1
