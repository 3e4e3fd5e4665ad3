"""Formats of records and messages, which let versions run side by side."""

from __future__ import annotations

import msgspec

# What a controller understands. A version that says nothing of itself is of the first one, and
# until the record of the format says otherwise only what that understands is written or sent.
FIRST_FORMAT, CURRENT_FORMAT = 2, 3
PARTITIONS_FORMAT = 4  # with partitions of zones; announced only where they are switched on


class FormatRecord(msgspec.Struct):
    """The format that every controller understands. It never goes back."""

    version: int
