"""Run the node daemon and profile it between two signals SIGUSR1.

The second signal writes the profile to the file that the first argument
names.
"""

import cProfile
import signal
import sys
from types import FrameType

from arbutusbay.node import main


class _Switch:
    """Start the profile at the first signal, write it at the second."""

    def __init__(self, *, output_path: str) -> None:
        self.output_path = output_path
        self.profile = cProfile.Profile()
        self.is_running = False

    def toggle(self, number: int, frame: FrameType | None) -> None:
        if self.is_running:
            self.profile.disable()
            self.profile.dump_stats(self.output_path)
        else:
            self.profile.enable()
        self.is_running = not self.is_running


if __name__ == '__main__':
    signal.signal(signal.SIGUSR1, _Switch(output_path=sys.argv[1]).toggle)
    sys.exit(main([]))
