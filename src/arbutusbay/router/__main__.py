"""Run the router with ``python -m arbutusbay.router``."""

from arbutusbay.router import main

main()
