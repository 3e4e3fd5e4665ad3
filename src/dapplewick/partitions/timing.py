"""Durations of transfers and of the moves of their machines, in HdrHistogram histograms."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from dapplewick.partitions.messages import DurationSummary
from dapplewick.types import NEVER_S, MachineId, Seconds, TransferId

MAX_DURATION_MS = 24 * 3600 * 1000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0)


class TransferDurations:
    """The durations recorded by this controller, in all its terms of leadership."""

    def __init__(self) -> None:
        self._machines = HdrHistogram(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)
        self._transfers = HdrHistogram(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)

    def record_machine(self, duration_s: Seconds) -> None:
        """Record the time from the selection of a machine to its handover, in seconds."""
        self._machines.record_value(_milliseconds(duration_s))

    def record_transfer(self, duration_s: Seconds) -> None:
        """Record a transfer's time from its first selected machine to completion, in seconds."""
        self._transfers.record_value(_milliseconds(duration_s))

    def summaries(self) -> dict[str, DurationSummary]:
        """Summaries of both histograms, in seconds."""
        return {"machines": _summary(self._machines), "transfers": _summary(self._transfers)}


class TransferStopwatch:
    """Measures the durations of moves of machines and of transfers, in one term of a leader."""

    def __init__(self, durations: TransferDurations) -> None:
        self._durations = durations
        self._drain_started_at: dict[MachineId, Seconds] = {}
        self._started_at: dict[TransferId, Seconds] = {}

    def record_draining(
        self, transfer: TransferId, machines: Iterable[MachineId], now: Seconds
    ) -> None:
        """Record that machines start to drain for a transfer."""
        for machine in machines:
            self._drain_started_at[machine] = now
        self._started_at.setdefault(transfer, now)

    def draining_duration(self, machine: MachineId, now: Seconds) -> Seconds:
        """How long a machine has been draining, in seconds; very long if the start is unknown."""
        return now - self._drain_started_at.get(machine, NEVER_S)

    def record_handovers(self, machines: Iterable[MachineId], now: Seconds) -> None:
        """Record the durations of machines that were handed over."""
        for machine in machines:
            if machine in self._drain_started_at:
                self._durations.record_machine(now - self._drain_started_at.pop(machine))

    def record_completion(self, transfer: TransferId, now: Seconds) -> None:
        """Record the duration of a complete transfer."""
        if transfer in self._started_at:
            self._durations.record_transfer(now - self._started_at.pop(transfer))


def _milliseconds(duration_s: Seconds) -> int:
    return min(MAX_DURATION_MS, max(1, round(duration_s * 1000.0)))


def _summary(histogram: Any) -> DurationSummary:
    count = histogram.get_total_count()
    if not count:
        return DurationSummary(0, 0.0, 0.0, 0.0)
    p50, p95 = (histogram.get_value_at_percentile(percentile) for percentile in PERCENTILES)
    return DurationSummary(count, _seconds(p50), _seconds(p95), _seconds(histogram.get_max_value()))


def _seconds(milliseconds: int) -> Seconds:
    return round(milliseconds / 1000.0, 1)
