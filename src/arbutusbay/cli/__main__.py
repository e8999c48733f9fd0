"""Run the operators' client as a module."""

from arbutusbay.cli import main

main()
