"""Partitions of zones: machines that are kept for some teams, and change hands while work runs.

Operators know partitions as shares: so do scripts, records, messages, commands and their texts.
Nothing of this package is imported where partitions are switched off and none is left.
"""
