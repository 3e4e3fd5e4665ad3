"""The deployment of real processes that the tests on loopback share."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from support.real_world import RealWorld


@pytest.fixture
def world() -> Iterator[RealWorld]:
    """Two controllers, which are killed at the end of a test."""
    with tempfile.TemporaryDirectory() as folder:
        made = RealWorld(Path(folder))
        yield made
        made.kill_all()
