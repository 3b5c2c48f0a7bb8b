"""Rate-limited, non-blocking log output."""

import logging
import os
import sys
import time
from typing import TextIO

from hyssopweir.events import logger

NANOSECONDS_PER_SECOND = 1_000_000_000


class RateLimitedHandler(logging.Handler):
    """Handler that writes at most ``max_lines`` per second and counts dropped lines.

    A line that can't be written without blocking is dropped. Warnings and errors are
    exempt from the limit.
    """

    def __init__(self, max_lines: int, stream: TextIO) -> None:
        super().__init__()
        self._max_lines = max_lines
        self._fd = stream.fileno()
        os.set_blocking(self._fd, False)
        self._second = 0
        self._lines = 0
        self.dropped = 0
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line unless the limit of this second is reached."""
        second = time.monotonic_ns() // NANOSECONDS_PER_SECOND
        if second != self._second:
            self._second, self._lines = second, 0
            self._report()
        self._lines += 1
        if self._lines > self._max_lines and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self._write(record.getMessage())

    def _report(self) -> None:
        if self.dropped == self._reported_dropped:
            return
        newly_dropped = self.dropped - self._reported_dropped
        self._reported_dropped = self.dropped
        self._write(f'{{"name": "LOG_LINES_DROPPED", "lines": {newly_dropped}}}')

    def _write(self, line: str) -> None:
        try:
            os.write(self._fd, line.encode() + b"\n")
        except OSError:
            # The reader is too slow or gone, which must not stop the process.
            self.dropped += 1


def log_to_stdout(level: str, max_lines: int) -> RateLimitedHandler:
    """Send events to standard output, one JSON object per line."""
    handler = RateLimitedHandler(max_lines, sys.stdout)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level)
    # ``mode.Service`` logs under the module name of its subclass; these messages are
    # not events.
    logging.getLogger("hyssopweir.platform").setLevel(logging.WARNING)
    return handler
