"""Run the node daemon from a checkout without installing it."""

import sys

from arbutusbay.node import main

sys.exit(main())
