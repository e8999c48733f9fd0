"""Run the control daemon with ``python -m arbutusbay.control``."""

from arbutusbay.control import main

main()
