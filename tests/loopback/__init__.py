"""Real controller processes and sockets on loopback."""
