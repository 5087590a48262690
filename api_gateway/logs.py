"""Logging to standard error: one line for each event, at a limited rate.

The message of a line starts with the name of the event, followed by its values as `key=value`. The exception
is `listening on HOST:PORT`, which programs that start a gateway wait for.
"""

from __future__ import annotations

import logging
import sys
import time

# DEBUG adds a `request_rejected` line, with the reason and the X-Request-Id, for each rejected request. These
# lines count towards MAX_LINES_PER_S, too.
LOG_LEVEL = logging.INFO

MAX_LINES_PER_S = 20

# Logs start-up, reload and shutdown. Its lines are exempt from the rate limit.
lifecycle_log = logging.getLogger("api_gateway.lifecycle")


class RateLimitFilter(logging.Filter):
    """Drops lines beyond MAX_LINES_PER_S, and reports how many with the first line of a later second.

    Lines of `lifecycle_log` are never dropped: there are few of them, and programs that start a gateway wait
    for them.
    """

    def __init__(self) -> None:
        super().__init__()
        self._current_second = 0
        self._line_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is to be written.

        Args:
            record: The log record of the line.
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
    """Configure the root logger to write to standard error.

    Args:
        gateway_name: Name of the gateway, written in each line after the time.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {gateway_name} %(levelname)s %(message)s"))
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(level=LOG_LEVEL, handlers=[handler])
