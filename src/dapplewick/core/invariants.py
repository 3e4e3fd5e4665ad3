"""Run-time invariants and the counts of their violations, which stop no operation."""

from __future__ import annotations

from enum import StrEnum


class Invariant(StrEnum):
    """An invariant that a controller asserts while it runs."""

    SHARDS_IN_CONTACT = "shards_are_heard"
    LIMITS_ARE_RELEASED = "limits_are_given_back"


class InvariantCounts:
    """The number of violations of each invariant since the process started.

    The code that detects a violation also logs it as one error event, with the evidence.

    Attributes:
        violations: The number of violations by invariant, without invariants that always held.
    """

    def __init__(self) -> None:
        self.violations: dict[Invariant, int] = {}

    def record_violation(self, invariant: Invariant) -> None:
        """Count one violation."""
        self.violations[invariant] = self.violations.get(invariant, 0) + 1
