"""What several tests and tools share."""
