"""Run the control daemon as a module."""

from arbutusbay.control import main

main()
