"""Errors of calls of the state service, by what they mean for the caller."""

from __future__ import annotations


class RequestRefusedError(Exception):
    """The request was not carried out."""


class OutcomeUnknownError(Exception):
    """The request may or may not have been carried out, or may still be."""


class TransactionConflictError(Exception):
    """A condition of the transaction does not hold."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(",".join(failed))
        self.failed = failed


class ValueTooLargeError(RequestRefusedError):
    """A value or the transaction is larger than the state service takes."""


class LeaseExpiredError(Exception):
    """The lease has ended."""


class RevisionCompactedError(Exception):
    """The changes asked for are no longer kept."""
