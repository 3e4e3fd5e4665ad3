"""The scheduling itself, as state machines without I/O."""
