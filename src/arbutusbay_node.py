"""Run the node daemon from a checkout without installing it."""

import signal
import sys

# The imports take longer than a signal may wait for its handler, and without
# one it ends the process. The settings are read later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from arbutusbay.node import main  # noqa: E402

sys.exit(main())
