"""Encoding of values for the state service."""

from __future__ import annotations

from typing import Any

import msgspec


def encoded_size(value: Any) -> int:
    """The size in bytes of a value as it is sent to the state service."""
    return len(msgspec.json.encode(value))
