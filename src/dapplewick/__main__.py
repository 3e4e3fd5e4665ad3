"""Runs the command line for `python -m dapplewick`."""

from dapplewick.cli.main import main

main()
