"""Starts a controller with one safety check of the sources disabled.

The soak run that uses this controller must report a violation.

python tests/tools/controller_without_guard.py GUARD --config FILE
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[2] / part) for part in ("src", "tests")]

import pytest  # noqa: E402

from dapplewick.controller.startup import start  # noqa: E402
from support.mutations import SOAK_GUARDS  # noqa: E402

if __name__ == "__main__":
    SOAK_GUARDS[sys.argv[1]](pytest.MonkeyPatch())
    sys.exit(start(sys.argv[2:]))
