"""`python -m dapplewick` is the command line."""

from dapplewick.cli.main import main

main()
