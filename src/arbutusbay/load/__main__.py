"""Run the load generator with ``python -m arbutusbay.load``."""

from arbutusbay.load import main

main()
