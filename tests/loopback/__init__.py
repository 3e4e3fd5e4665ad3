"""Tests with real controller processes and sockets on loopback."""
