"""Stored and sent formats, and versions beside one another."""
