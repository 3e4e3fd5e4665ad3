"""What users were told about their jobs, and whether any answer contradicts another."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

UNKNOWN, ACCEPTED, OVER = 0, 1, 2
FINAL_STAGES = ("done", "withdrawn")


class UserRequest(NamedTuple):
    """A user's request about a job. `known`: what any user had been told when it was put."""

    job: str
    verb: str  # "submit", "poll" or "abort"
    known: int


@dataclass
class ReportedState:
    """What users were told about one job so far."""

    known: int = UNKNOWN
    final: str = ""
    cancel_requested: bool = False


@dataclass
class AnswerHistory:
    """Follows every answer of every controller to every user.

    An answer is too old if its question was put after something later had been told. Two answers
    that name different final states contradict each other in whatever order they came.
    """

    violations: list[str] = field(default_factory=list)
    answers: int = 0
    jobs: dict[str, ReportedState] = field(default_factory=dict)

    def record_request(self, job: str, verb: str) -> UserRequest:
        """A user puts a question now."""
        reported = self.jobs.setdefault(job, ReportedState())
        if verb == "abort":
            reported.cancel_requested = True
        return UserRequest(job, verb, reported.known)

    def record_answer(self, request: UserRequest, status: int, body: Any) -> None:
        """The answer to a question arrives."""
        if status in (200, 201):
            self.answers += 1
            self._check_stage(request, body["stage"])
        elif status == 404:
            self.answers += 1
            if request.known > UNKNOWN:
                self.violations.append(f"forgotten {request.job} 404 to {request.verb}")
        elif status in (400, 422) and request.verb == "submit" and request.known > UNKNOWN:
            self.violations.append(f"forgotten {request.job} {status} to submit")

    def _check_stage(self, request: UserRequest, stage: str) -> None:
        reported = self.jobs[request.job]
        what = f"{request.job} {stage} to {request.verb}"
        if stage not in FINAL_STAGES:
            if request.known == OVER:
                self.violations.append(f"went_back {what} after {reported.final}")
            reported.known = max(reported.known, ACCEPTED)
            return
        if stage == "withdrawn" and not reported.cancel_requested:
            self.violations.append(f"went_back {what}, nobody cancelled it")
        if reported.final and reported.final != stage:
            self.violations.append(f"went_back {what} after {reported.final}")
        reported.known, reported.final = OVER, reported.final or stage
