"""How long transfers took, and each of their machines: histograms of the HdrHistogram library."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from dapplewick.partitions.messages import DurationSummary
from dapplewick.types import NEVER_S, MachineId, Seconds, TransferId

LONGEST_MS = 24 * 3600 * 1000
DIGITS = 2
PERCENTILES = (50.0, 95.0)


class TransferDurations:
    """Histograms since this controller began to lead."""

    def __init__(self) -> None:
        self._machines = HdrHistogram(1, LONGEST_MS, DIGITS)
        self._transfers = HdrHistogram(1, LONGEST_MS, DIGITS)

    def record_machine(self, took: Seconds) -> None:
        """Record in how many seconds after it was chosen a machine was handed over."""
        self._machines.record_value(_milliseconds(took))

    def record_transfer(self, took: Seconds) -> None:
        """Record in how many seconds after its first machine was chosen a transfer was complete."""
        self._transfers.record_value(_milliseconds(took))

    def summaries(self) -> dict[str, DurationSummary]:
        """Both histograms, in seconds."""
        return {"machines": _summary(self._machines), "transfers": _summary(self._transfers)}


class TransferStopwatch:
    """Since when machines are drained and transfers have some, in one term of a leader."""

    def __init__(self, times: TransferDurations) -> None:
        self._times = times
        self._drained_at: dict[MachineId, Seconds] = {}
        self._begun_at: dict[TransferId, Seconds] = {}

    def note_drained(
        self, transfer: TransferId, machines: Iterable[MachineId], now: Seconds
    ) -> None:
        """Take note that machines are drained for a transfer from now on."""
        for machine in machines:
            self._drained_at[machine] = now
        self._begun_at.setdefault(transfer, now)

    def drained_for_s(self, machine: MachineId, now: Seconds) -> Seconds:
        """For how many seconds a machine has been drained; very long if that is not known."""
        return now - self._drained_at.get(machine, NEVER_S)

    def note_handed_over(self, machines: Iterable[MachineId], now: Seconds) -> None:
        """Record the times of machines that were handed over."""
        for machine in machines:
            if machine in self._drained_at:
                self._times.record_machine(now - self._drained_at.pop(machine))

    def note_complete(self, transfer: TransferId, now: Seconds) -> None:
        """Record the time of a transfer that is complete."""
        if transfer in self._begun_at:
            self._times.record_transfer(now - self._begun_at.pop(transfer))


def _milliseconds(took: Seconds) -> int:
    return min(LONGEST_MS, max(1, round(took * 1000.0)))


def _summary(histogram: Any) -> DurationSummary:
    count = histogram.get_total_count()
    if not count:
        return DurationSummary(0, 0.0, 0.0, 0.0)
    p50, p95 = (histogram.get_value_at_percentile(percentile) for percentile in PERCENTILES)
    return DurationSummary(count, _seconds(p50), _seconds(p95), _seconds(histogram.get_max_value()))


def _seconds(milliseconds: int) -> Seconds:
    return round(milliseconds / 1000.0, 1)
