"""The operators' documentation lists every log event and the modules that log it."""

from __future__ import annotations

import re

from support.paths import ROOT

SOURCES = ROOT / "src" / "dapplewick"
EVENT = re.compile(r'event=([a-z_]+)(?=[ "])')
PATH = re.compile(r"`((?:[a-z_]+/)+[a-z_]+\.py)`")


def logged_events() -> dict[str, set[str]]:
    """The modules that log each event, found in the sources."""
    modules: dict[str, set[str]] = {}
    for path in SOURCES.rglob("*.py"):
        for event in EVENT.findall(path.read_text()):
            modules.setdefault(event, set()).add(str(path.relative_to(SOURCES)))
    return modules


def architecture_table() -> dict[str, set[str]]:
    """The modules that log each event, as listed in `docs/architecture.md`."""
    modules: dict[str, set[str]] = {}
    page = (ROOT / "docs" / "architecture.md").read_text()
    for module, events in re.findall(r"^\| `([\w/]+\.py)` \| ([a-z_, ]+) \|$", page, re.MULTILINE):
        for event in events.split(", "):
            modules.setdefault(event, set()).add(module)
    return modules


def test_the_architecture_page_lists_the_modules_of_each_log_event() -> None:
    logged, table = logged_events(), architecture_table()
    assert len(logged) > 50
    assert {event: table.get(event) for event in logged} == logged


def test_the_operations_page_explains_each_log_event() -> None:
    page = (ROOT / "docs" / "operations.md").read_text()
    assert [event for event in logged_events() if f"`{event}`" not in page] == []


def test_the_architecture_page_names_modules_that_exist() -> None:
    page = (ROOT / "docs" / "architecture.md").read_text()
    named = set(PATH.findall(page))
    assert len(named) > 40
    assert [path for path in named if not (SOURCES / path).exists()] == []
