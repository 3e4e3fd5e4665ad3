"""Stored records and sent messages stay the same, byte for byte.

The golden data was written by `tests/tools/make_golden_data.py`. Each input value is read and
written with the current sources, and the output is compared with the golden output. Everything that
the golden scenarios send is compared, too. So a rename in the sources cannot change a format.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from support.golden import WRITERS
from tools import make_golden_data
from tools.make_golden_data import FOLDER

GOLDEN: dict[str, Any] = {
    file.stem.replace("_", " "): json.loads(file.read_text()) for file in FOLDER.glob("*.json")
}
SCENARIOS: dict[str, Any] = GOLDEN.pop("days")
ITEMS = [(kind, label) for kind in sorted(GOLDEN) for label in GOLDEN[kind]]
SENT = [(label, kind) for label in SCENARIOS for kind in SCENARIOS[label]]
STORED = [
    (label, kind, number)
    for label, kind in SENT
    if kind.startswith("record ") and kind != "record dw/d/"
    for number in range(len(SCENARIOS[label][kind]["samples"]))
]


def plain(value: Any) -> Any:
    """Convert a value to the JSON types of the golden files."""
    return json.loads(json.dumps(value))


def test_each_kind_has_golden_values() -> None:
    assert GOLDEN.keys() == WRITERS.keys()
    assert all(GOLDEN.values())


@pytest.mark.parametrize(("kind", "label"), ITEMS)
def test_what_is_read_is_written_as_before(kind: str, label: str) -> None:
    item = GOLDEN[kind][label]
    assert plain(WRITERS[kind](item["given"])) == item["written"]


@pytest.mark.parametrize("label", make_golden_data.records())
def test_records_of_the_present_version_are_written_as_they_were_read(label: str) -> None:
    item = GOLDEN["records"][label]
    stored = [[key, json.dumps(value, separators=(",", ":"))] for key, value, _ in item["given"]]
    assert item["written"]["again"] == stored


@pytest.mark.parametrize(("label", "kind", "number"), STORED)
def test_a_scenarios_record_is_written_as_it_was_read(label: str, kind: str, number: int) -> None:
    stored = SCENARIOS[label][kind]["samples"][number]
    key, value = json.loads(stored)
    again = WRITERS["records"]([[key, value, 5]])["again"]
    assert [f'["{key}",{text}]' for key, text in again] == [stored]


@pytest.fixture(scope="module")
def sent_now() -> Any:
    return make_golden_data.scenarios()


@pytest.mark.parametrize(("label", "kind"), SENT)
def test_all_that_a_scenario_sends_is_as_before(sent_now: Any, label: str, kind: str) -> None:
    """An intended change of planning fails here too; regenerate the golden data for it."""
    now, before = sent_now[label].get(kind), SCENARIOS[label][kind]
    assert now is not None
    assert now["samples"] == before["samples"]
    assert now == before


@pytest.mark.parametrize("label", SCENARIOS)
def test_a_scenario_sends_nothing_else(sent_now: Any, label: str) -> None:
    assert sent_now[label].keys() == SCENARIOS[label].keys()
