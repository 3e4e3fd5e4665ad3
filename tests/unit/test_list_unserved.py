"""The list of simulation runs in which only a small part of a group of jobs was served."""

from __future__ import annotations

from typing import Any

from tools.list_unserved import unserved_groups


def entry(head: str, site: str, served: list[list[Any]] | None) -> dict[str, Any]:
    day = {"name": "calm", "servers": 40, "score": 0.7, "served": served}
    return {"head": head, "dirty": False, "cmd": "score", "site": site, "days": [day]}


def test_groups_below_the_threshold_are_listed_by_revision_and_site() -> None:
    journal = [
        ("first", entry("a" * 40, "north", [["route", 0.7, 0.49], ["team red", 1.0, 0.5]])),
        ("second", entry("b" * 40, "north", [["largest route", 0.7, 0.2]])),
        ("third", entry("a" * 40, "south", [["scan", 0.3, 0.1]])),
        ("fourth", entry("a" * 40, "north", None)),
        ("fifth", entry("a" * 40, "north", []) | {"days": None}),
    ]
    assert [row.group for row in unserved_groups(journal)] == ["route", "largest route", "scan"]
    found = list(unserved_groups(journal, revision="a", site="north", below=0.51))
    assert [(row.group, row.served, row.entry) for row in found] == [
        ("route", 0.49, "first"),
        ("team red", 0.5, "first"),
    ]
