"""Run the daemon as a module."""

import sys

from arbutusbay.node import main

sys.exit(main())
