"""Whole scenarios in virtual time against the stand-ins."""
