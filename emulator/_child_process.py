"""Control child processes."""

import signal
import subprocess
from pathlib import Path

import attrs

_STOP_TIMEOUT_S = 15.0
_PROJECT_DIRECTORY = Path(__file__).resolve().parent.parent


@attrs.define(kw_only=True)
class ChildProcess:
    """Control one child process; ``url`` is where it serves HTTP."""

    name: str
    url: str
    command: list[str]
    log_path: Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                self.command,
                stdout=log,
                stderr=log,
                cwd=_PROJECT_DIRECTORY,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM, on which daemons drain and exit."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait for the process to exit and return its exit code.

        Raises ``subprocess.TimeoutExpired`` after ``timeout_s`` seconds.
        """
        return self.popen.wait(timeout_s)

    def is_running(self) -> bool:
        """Return whether the process has started and not exited."""
        return self.popen is not None and self.popen.poll() is None
