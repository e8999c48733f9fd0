"""Run the node daemon with ``python -m arbutusbay.node``."""

import sys

from arbutusbay.node import main

sys.exit(main())
