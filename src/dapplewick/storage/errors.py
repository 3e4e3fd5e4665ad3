"""Errors of calls of the state service, by what they mean for the caller."""

from __future__ import annotations

from dapplewick.errors import DapplewickError


class StateServiceError(DapplewickError):
    """A call of the state service that did not do what was asked; a note names the call."""


class RequestRefusedError(StateServiceError):
    """The request was not carried out and never will be: it may be made again at once.

    It was not sent, went over a budget, or was answered with a status that says so.
    """


class OutcomeUnknownError(StateServiceError):
    """The request may or may not have been carried out, or may still be.

    No whole answer came, or one that cannot be parsed. A write must not be taken for failed: what
    is stored has to be read again, and a late write made impossible by a change of its condition.
    """


class TransactionConflictError(StateServiceError):
    """A compare-and-swap condition of the transaction does not hold: nothing was written.

    The caller knew old versions of the keys in `failed` and has to read the newer ones.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(",".join(failed))
        self.failed = failed


class ValueTooLargeError(RequestRefusedError):
    """A value or the transaction is larger than the state service takes: nothing was written.

    Made again as it is, it is refused again.
    """


class LeaseExpiredError(StateServiceError):
    """The lease has expired, and the keys that hung on it are gone: a new one is needed."""


class RevisionCompactedError(StateServiceError):
    """The changes since the revision asked for are no longer kept: all keys are to be listed."""
