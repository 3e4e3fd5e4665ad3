"""The command line, for users and operators."""
