"""How values are sent to the state service."""

from __future__ import annotations

from typing import Any

import msgspec


def encoded_size(value: Any) -> int:
    """How many bytes a value has as it is sent."""
    return len(msgspec.json.encode(value))
