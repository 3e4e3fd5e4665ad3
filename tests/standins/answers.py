"""Records the answers to users about their jobs and checks them for contradictions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

UNKNOWN, ACCEPTED, OVER = 0, 1, 2
FINAL_STAGES = ("done", "withdrawn")


class UserRequest(NamedTuple):
    """A user's request about a job.

    Attributes:
        job: ID of the job.
        verb: "submit", "poll" or "abort".
        known: the furthest state that any user had been sent when the request was made.
    """

    job: str
    verb: str
    known: int


@dataclass
class ReportedState:
    """What the answers to users have reported about one job so far."""

    known: int = UNKNOWN
    final: str = ""
    cancel_requested: bool = False


@dataclass
class AnswerHistory:
    """Checks every answer of every controller to every user.

    An answer is stale if its request was made after a later state had been reported. Two answers
    with different final states contradict each other regardless of their order.
    """

    violations: list[str] = field(default_factory=list)
    answers: int = 0
    jobs: dict[str, ReportedState] = field(default_factory=dict)

    def record_request(self, job: str, verb: str) -> UserRequest:
        """Record a request that a user makes now."""
        reported = self.jobs.setdefault(job, ReportedState())
        if verb == "abort":
            reported.cancel_requested = True
        return UserRequest(job, verb, reported.known)

    def record_answer(self, request: UserRequest, status: int, body: Any) -> None:
        """Record the answer to a request, and any contradiction with earlier answers."""
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
