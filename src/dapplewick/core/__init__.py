"""The scheduling logic, as state machines without I/O."""
