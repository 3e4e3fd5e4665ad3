"""Helpers that several tests and tools share."""
