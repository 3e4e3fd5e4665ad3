"""Encoding of sets of task numbers as ranges, such as "0-57,60"."""

from __future__ import annotations

from collections.abc import Iterable

from dapplewick.protocol.users import MAX_TASKS


def pack(numbers: Iterable[int]) -> str:
    """Encode a set of non-negative numbers as ranges in ascending order."""
    ranges: list[str] = []
    first = last = -2
    for number in sorted(numbers):
        if number == last + 1:
            last = number
            continue
        if first >= 0:
            ranges.append(str(first) if first == last else f"{first}-{last}")
        first = last = number
    if first >= 0:
        ranges.append(str(first) if first == last else f"{first}-{last}")
    return ",".join(ranges)


def unpack(text: str) -> set[int]:
    """Decode a set of numbers that `pack` encoded.

    Raises:
        ValueError: the text is malformed, or contains a number that no task has.
    """
    numbers: set[int] = set()
    for entry in text.split(",") if text else ():
        low, _, high = entry.partition("-")
        last = int(high or low)
        if last >= MAX_TASKS:
            raise ValueError(f"{entry}: no job has so many tasks")
        numbers.update(range(int(low), last + 1))
    return numbers
