"""Sets of task numbers as short texts: "0-57,60"."""

from __future__ import annotations

from collections.abc import Iterable


def pack(numbers: Iterable[int]) -> str:
    """Write a set of numbers as ranges."""
    out: list[str] = []
    first = last = -2
    for n in sorted(numbers):
        if n == last + 1:
            last = n
            continue
        if first >= 0:
            out.append(str(first) if first == last else f"{first}-{last}")
        first = last = n
    if first >= 0:
        out.append(str(first) if first == last else f"{first}-{last}")
    return ",".join(out)


def unpack(text: str) -> set[int]:
    """Read what `pack` wrote."""
    numbers: set[int] = set()
    for part in text.split(",") if text else ():
        low, _, high = part.partition("-")
        numbers.update(range(int(low), int(high or low) + 1))
    return numbers
