"""Checks that hold for every test.

Seen: `test_wait_reasons.py` failed now and then in the whole suite, since a log line that the
leader does write was not captured.

How it came about: the import linter configures logging when it is called, and that disables every
logger that exists by then, for the rest of the process. Tests that came later on the same worker of
the suite saw no line of the service: one that expects a line failed, and those that expect that
there is none could not fail. Which tests share a worker changes from run to run.

Proof: `pytest tests/unit/test_layers.py tests/unit/test_wait_reasons.py` in one process failed each
time, and either file alone passed.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import NamedTuple

import pytest


class LoggerState(NamedTuple):
    """What decides whether a logger's lines reach a handler."""

    disabled: bool
    propagates: bool
    level: int


class LoggingState(NamedTuple):
    """The state of all loggers, and the level below which logging as a whole is off."""

    off_below: int
    root_level: int
    loggers: dict[str, LoggerState]


def logging_state() -> LoggingState:
    """What a test can leave behind for those after it in the same process."""
    loggers = {
        name: LoggerState(logger.disabled, logger.propagate, logger.level)
        for name, logger in logging.root.manager.loggerDict.items()
        if isinstance(logger, logging.Logger) and name.startswith("dapplewick")
    }
    return LoggingState(logging.root.manager.disable, logging.root.level, loggers)


@pytest.fixture(autouse=True)
def _logging_is_left_as_it_was() -> Iterator[None]:
    """A test that changes which lines are logged after it fails itself, not one after it."""
    before = logging_state()
    yield
    after = logging_state()
    assert (after.off_below, after.root_level) == (before.off_below, before.root_level)
    changed = {
        name: after.loggers[name]
        for name, state in before.loggers.items()
        if after.loggers[name] != state
    }
    assert changed == {}
