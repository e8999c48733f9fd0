"""Run the node daemon from a checkout without installing it."""

import signal
import sys

# Its handler is installed behind all imports; a signal before that would end
# the process. The settings are read later, so nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from arbutusbay.node import main  # noqa: E402

sys.exit(main())
