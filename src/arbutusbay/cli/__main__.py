"""Run the command-line client with ``python -m arbutusbay.cli``."""

from arbutusbay.cli import main

main()
