"""Run the router as a module."""

from arbutusbay.router import main

main()
