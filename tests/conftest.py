"""Checks that run with every test.

No test may change the logging configuration for later tests in the same process. The import linter
did so when a test called it: it configured logging, which disabled all existing loggers. Later
tests on the same pytest worker captured no log lines of the service, so tests that expect a line
failed, and tests that expect no line could not fail. Which tests share a worker varies from run to
run. `pytest tests/unit/test_layers.py tests/unit/test_wait_reasons.py` in one process failed each
time, and each file alone passed.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from typing import NamedTuple

import pytest


class LoggerState(NamedTuple):
    """The settings of a logger that decide whether its lines reach a handler."""

    disabled: bool
    propagates: bool
    level: int


class LoggingState(NamedTuple):
    """The global disable level, the level of the root logger, and the loggers of the service."""

    disable_level: int
    root_level: int
    loggers: dict[str, LoggerState]


def logging_state() -> LoggingState:
    """Return the logging settings that later tests in the same process inherit."""
    loggers = {
        name: LoggerState(logger.disabled, logger.propagate, logger.level)
        for name, logger in logging.root.manager.loggerDict.items()
        if isinstance(logger, logging.Logger) and name.startswith("dapplewick")
    }
    return LoggingState(logging.root.manager.disable, logging.root.level, loggers)


@pytest.fixture(autouse=True)
def _logging_configuration_is_unchanged() -> Iterator[None]:
    """Fail a test that changes the logging configuration, rather than a later test."""
    before = logging_state()
    yield
    after = logging_state()
    assert (after.disable_level, after.root_level) == (before.disable_level, before.root_level)
    changed = {
        name: after.loggers[name]
        for name, state in before.loggers.items()
        if after.loggers[name] != state
    }
    assert changed == {}
