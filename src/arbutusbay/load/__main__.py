"""Run the load tool as a module."""

from arbutusbay.load import main

main()
