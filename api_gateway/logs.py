"""The log: one line for each event on standard error, at a limited rate.

A line has the name of an event first and its values as `key=value` behind it.
"""

from __future__ import annotations

import logging
import sys
import time

# DEBUG adds one line for each rejected request, `request_rejected`, with the reason and the X-Request-Id. The
# bound of MAX_LINES_PER_S holds for these lines, too.
LOG_LEVEL = logging.INFO

MAX_LINES_PER_S = 20

lifecycle_log = logging.getLogger("api_gateway.lifecycle")  # start-up, reload and shutdown: never dropped


class RateLimitFilter(logging.Filter):
    """Drops lines beyond a rate, and writes how many were dropped when the next second has a line.

    Lines of `lifecycle_log` are few, and programs that start a gateway wait for them: they are not limited.
    """

    def __init__(self) -> None:
        super().__init__()
        self._current_second = 0
        self._line_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is within the rate.

        Args:
            record: The record of the line.
        """
        if record.name == lifecycle_log.name:
            return True
        second = int(time.monotonic())
        if second != self._current_second:
            self._start_second(second)
        self._line_count += 1
        return self._line_count <= MAX_LINES_PER_S

    def _start_second(self, second: int) -> None:
        dropped = self._line_count - MAX_LINES_PER_S
        if dropped > 0:
            sys.stderr.write(f"log_lines_dropped count={dropped}\n")
        self._current_second = second
        self._line_count = 0


def configure_logging(gateway_name: str) -> None:
    """Write the log to standard error.

    Args:
        gateway_name: Stands in each line, behind the time.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {gateway_name} %(levelname)s %(message)s"))
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=LOG_LEVEL, handlers=[handler])
