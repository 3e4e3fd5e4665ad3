"""The cluster of real controller processes that the loopback tests share."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from support.real_world import RealWorld


@pytest.fixture
def world() -> Iterator[RealWorld]:
    """Provide a cluster of two controllers, and kill them after the test."""
    with tempfile.TemporaryDirectory() as folder:
        real_world = RealWorld(Path(folder))
        yield real_world
        real_world.kill_all()
