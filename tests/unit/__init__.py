"""Unit tests of state machines, models and parsers."""
