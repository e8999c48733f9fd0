"""Start the daemon of one VM from a checkout, without installing it."""

import sys

from arbutusbay.node import main

sys.exit(main())
