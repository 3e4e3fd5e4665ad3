"""What users were told about their jobs, and whether any answer contradicts another."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

UNKNOWN, ACCEPTED, OVER = 0, 1, 2
FINAL_STAGES = ("done", "withdrawn")


class Question(NamedTuple):
    """A user's request about a job. `known`: what any user had been told when it was put."""

    job: str
    verb: str  # "submit", "poll" or "abort"
    known: int


@dataclass
class Told:
    """What users were told about one job so far."""

    known: int = UNKNOWN
    final: str = ""
    cancel_asked: bool = False


@dataclass
class AnswerHistory:
    """Follows every answer of every controller to every user.

    An answer is too old if its question was put after something later had been told. Two answers
    that name different final states contradict each other in whatever order they came.
    """

    violations: list[str] = field(default_factory=list)
    answers: int = 0
    jobs: dict[str, Told] = field(default_factory=dict)

    def record_request(self, job: str, verb: str) -> Question:
        """A user puts a question now."""
        told = self.jobs.setdefault(job, Told())
        if verb == "abort":
            told.cancel_asked = True
        return Question(job, verb, told.known)

    def record_answer(self, question: Question, status: int, said: Any) -> None:
        """The answer to a question arrives."""
        if status in (200, 201):
            self.answers += 1
            self._stage(question, said["stage"])
        elif status == 404:
            self.answers += 1
            if question.known > UNKNOWN:
                self.violations.append(f"forgotten {question.job} 404 to {question.verb}")
        elif status in (400, 422) and question.verb == "submit" and question.known > UNKNOWN:
            self.violations.append(f"forgotten {question.job} {status} to submit")

    def _stage(self, question: Question, stage: str) -> None:
        told = self.jobs[question.job]
        what = f"{question.job} {stage} to {question.verb}"
        if stage not in FINAL_STAGES:
            if question.known == OVER:
                self.violations.append(f"went_back {what} after {told.final}")
            told.known = max(told.known, ACCEPTED)
            return
        if stage == "withdrawn" and not told.cancel_asked:
            self.violations.append(f"went_back {what}, nobody cancelled it")
        if told.final and told.final != stage:
            self.violations.append(f"went_back {what} after {told.final}")
        told.known, told.final = OVER, told.final or stage
