"""Programs that are not tests."""
