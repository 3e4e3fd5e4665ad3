"""Formats of records and messages, which let different versions of dapplewick run together."""

from __future__ import annotations

import msgspec

# A controller that does not report a format supports the first one. Until the format record raises
# the format, only the first one is written and sent.
FIRST_FORMAT, CURRENT_FORMAT = 2, 3
PARTITIONS_FORMAT = 4  # adds partitions of zones; reported only if partitions are enabled


class FormatRecord(msgspec.Struct):
    """The newest format that every controller supports; it never decreases."""

    version: int
