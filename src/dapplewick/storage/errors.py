"""Errors of state service calls, by what the caller can conclude from them."""

from __future__ import annotations

from dapplewick.errors import DapplewickError


class StateServiceError(DapplewickError):
    """A state service call failed, or its outcome is unknown; a note names the call."""


class RequestRefusedError(StateServiceError):
    """The request was not carried out and never will be, so it can be retried at once.

    The request was not sent, exceeded a budget, or was answered with a status that rejects it.
    """


class OutcomeUnknownError(StateServiceError):
    """The request may have been carried out, or may still be carried out later.

    The response is missing, incomplete or malformed. A write must not be treated as failed. The
    caller must read the records again, and must change a key on which the write is conditional to
    prevent the write from being applied late.
    """


class TransactionConflictError(StateServiceError):
    """A compare-and-swap condition of the transaction does not hold, so nothing was written.

    Attributes:
        failed: the keys whose versions have changed. The caller must read their newer versions.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(",".join(failed))
        self.failed = failed


class ValueTooLargeError(RequestRefusedError):
    """A value or the transaction exceeds the limits of the state service; nothing was written.

    Retrying the same transaction fails again.
    """


class LeaseExpiredError(StateServiceError):
    """The lease has expired and its keys were removed; the caller needs a new lease."""


class RevisionCompactedError(StateServiceError):
    """Changes since the requested revision are no longer kept; the caller must list all keys."""
