"""The history checker reports invalid histories, each of which violates one rule."""

from __future__ import annotations

from typing import Any

import pytest

from support.partition_history import Entry, PartitionHistory

NIGHT = "a/~night"


def group(
    machines: dict[str, str], share: str = "", floors: dict[str, int] | None = None
) -> dict[str, Any]:
    value: dict[str, Any] = {"type": "c8", "zone": "a", "spot": False, "machines": machines}
    if share:
        value["share"] = share
    if floors:
        value["floors"] = floors
    return value


def transfer(state: str, draining: list[str], moved: int = 0, count: int = 1) -> dict[str, Any]:
    return {
        "generation": 1,
        "source": "a",
        "target": NIGHT,
        "type": "c8",
        "count": count,
        "state": state,
        "at": 0.0,
        "until": 60.0,
        "moved": moved,
        "draining": draining,
    }


TRANSFER_STARTED: list[Entry] = [
    (10, "dw/p/a", {"owner": "n0", "boot": "x"}, False),
    (11, f"dw/p/{NIGHT}", {"owner": "n1", "boot": "y"}, False),
    (12, "dw/m/r", group({"m1": "u", "m2": "u"}), False),
    (13, "dw/s/t", transfer("draining", ["m1"]), False),
]
HANDED_OVER: list[Entry] = [
    (14, "dw/m/r", group({"m2": "u"}), False),
    (14, "dw/m/r.1", group({"m1": "u"}, "night", {"m1": 11}), False),
    (14, "dw/s/t", transfer("complete", [], 1), False),
]


def check(*entries: Entry) -> list[str]:
    return PartitionHistory().check([*TRANSFER_STARTED, *entries])


def test_a_valid_handover_has_no_violations() -> None:
    history = PartitionHistory()
    assert history.check([*TRANSFER_STARTED, *HANDED_OVER]) == []
    assert history.handovers == [(14, "m1", "a", NIGHT)]
    assert history.open_transfers() == []
    assert history.counts() == {("a", "c8"): 1, (NIGHT, "c8"): 1}


@pytest.mark.parametrize(
    ("entries", "complaint"),
    [
        ([(14, "dw/m/r.1", group({"m1": "u"}, "night", {"m1": 11}), False)], "m1 counts in"),
        ([(14, "dw/m/r", group({"m2": "u"}), False)], "m1 counts nowhere"),
        (HANDED_OVER[:2], "without a transfer"),
        (
            [*HANDED_OVER[:2], (14, "dw/s/t", transfer("draining", ["m1"], 1, 2), False)],
            "without a transfer",
        ),
        (
            [
                HANDED_OVER[0],
                (14, "dw/m/r.1", group({"m1": "u"}, "night", {"m1": 10}), False),
                HANDED_OVER[2],
            ],
            "does not shut a out",
        ),
        (
            [
                (13, "dw/j/g", {"gang": {"attempt": 1, "places": [["a", "m1"]]}}, False),
                *HANDED_OVER,
            ],
            "while dw/j/g had a place on it",
        ),
        (
            [*HANDED_OVER, (15, "dw/m/r.1", group({"m1": "u"}, "night", {"m1": 9}), False)],
            "least token went back",
        ),
        ([(14, "dw/s/t", transfer("complete", [], 2), False)], "moved more than it was to"),
        ([(14, "dw/s/t", None, True)], "removed while it was open"),
        (
            [
                (14, "dw/s/t", transfer("cancelled", []), False),
                (15, "dw/s/t", transfer("draining", ["m1"]), False),
            ],
            "opened again",
        ),
        ([(14, "dw/s/u", transfer("draining", ["m1"]), False)], "drain the same machine"),
    ],
)
def test_an_invalid_history_is_reported(entries: list[Entry], complaint: str) -> None:
    assert any(complaint in violation for violation in check(*entries))
