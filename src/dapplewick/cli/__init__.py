"""Command line for users and operators."""
