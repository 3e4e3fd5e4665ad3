"""State machines, models and parsers, each alone."""
