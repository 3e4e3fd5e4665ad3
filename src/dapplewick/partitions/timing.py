"""How long transfers took, and each of their machines: histograms of the HdrHistogram library."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from dapplewick.types import Seconds

LONGEST_MS = 24 * 3600 * 1000
DIGITS = 2
PERCENTILES = (50.0, 95.0)


class MoveTimes:
    """Histograms since this controller began to lead."""

    def __init__(self) -> None:
        self._machines = HdrHistogram(1, LONGEST_MS, DIGITS)
        self._transfers = HdrHistogram(1, LONGEST_MS, DIGITS)

    def machine(self, took: Seconds) -> None:
        """A machine was handed over so long after it was chosen."""
        self._machines.record_value(_milliseconds(took))

    def transfer(self, took: Seconds) -> None:
        """A transfer was complete so long after its first machine was chosen."""
        self._transfers.record_value(_milliseconds(took))

    def view(self) -> dict[str, Any]:
        """Both histograms as plain values, in seconds."""
        return {"machines": _view(self._machines), "transfers": _view(self._transfers)}


def _milliseconds(took: Seconds) -> int:
    return min(LONGEST_MS, max(1, round(took * 1000.0)))


def _view(histogram: Any) -> dict[str, float]:
    said: dict[str, float] = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) if said["count"] else 0
        said[f"p{percentile:g}_s"] = round(value / 1000.0, 1)
    said["max_s"] = round(histogram.get_max_value() / 1000.0, 1) if said["count"] else 0.0
    return said
