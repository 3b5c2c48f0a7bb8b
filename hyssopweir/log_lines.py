"""Log lines on standard output, bounded in number and never waited for."""

import logging
import os
import sys
import time
from typing import TextIO

from hyssopweir.events import logger

NANOSECONDS_A_SECOND = 1_000_000_000


class RateLimitedHandler(logging.Handler):
    """Write at most ``most_lines`` a second; count what was left out.

    A line that can't be written at once is dropped. Warnings and errors are written
    beyond the limit.
    """

    def __init__(self, most_lines: int, stream: TextIO) -> None:
        super().__init__()
        self._most_lines = most_lines
        self._fd = stream.fileno()
        os.set_blocking(self._fd, False)
        self._second = 0
        self._lines = 0
        self.dropped = 0
        self._reported = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as a line."""
        second = time.monotonic_ns() // NANOSECONDS_A_SECOND
        if second != self._second:
            self._second, self._lines = second, 0
            self._report()
        self._lines += 1
        if self._lines > self._most_lines and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self._write(record.getMessage())

    def _report(self) -> None:
        if self.dropped == self._reported:
            return
        left_out = self.dropped - self._reported
        self._reported = self.dropped
        self._write(f'{{"name": "LOG_LINES_DROPPED", "lines": {left_out}}}')

    def _write(self, line: str) -> None:
        try:
            os.write(self._fd, line.encode() + b"\n")
        except OSError:
            # Nobody reads fast enough, or at all; the process goes on.
            self.dropped += 1


def log_to_stdout(level: str, most_lines: int) -> RateLimitedHandler:
    """Write one JSON object a line to standard output."""
    handler = RateLimitedHandler(most_lines, sys.stdout)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level)
    # Lines of the service library are no events.
    logging.getLogger("hyssopweir.platform").setLevel(logging.WARNING)
    return handler
