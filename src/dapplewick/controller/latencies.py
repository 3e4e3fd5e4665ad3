"""Histograms of request latencies."""

from __future__ import annotations

from typing import TypedDict

from hdrh.histogram import HdrHistogram

MIN_MS, MAX_MS, SIGNIFICANT_DIGITS = 1, 3_600_000, 2


class LatencySummary(TypedDict):
    """A histogram's count, and its percentiles and maximum in milliseconds."""

    count: int
    p50: int
    p95: int
    max: int


class LatencyHistograms:
    """Keeps a latency histogram in milliseconds for each kind of request."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Record a request's duration under its kind, clamped to the histogram's range."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)
        histogram.record_value(min(MAX_MS, max(MIN_MS, round(seconds * 1000))))

    def summarize(self) -> dict[str, LatencySummary]:
        """Return a summary of each histogram."""
        return {
            name: {
                "count": histogram.get_total_count(),
                "p50": histogram.get_value_at_percentile(50),
                "p95": histogram.get_value_at_percentile(95),
                "max": histogram.get_max_value(),
            }
            for name, histogram in self._histograms.items()
        }
