"""The record of a run: what was sent, answered and run, one line an event."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects events with the time since the start of the run, and writes them to `record.txt`.

    Args:
        path: The file to write.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def elapsed_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self._started_at

    def add(self, event: str, **details: object) -> None:
        """Add a line for one event."""
        fields = " ".join(f"{key}={value}" for key, value in details.items())
        self._lines.append(f"{self.elapsed_s():9.4f} {event} {fields}".rstrip())

    def last_line(self) -> str:
        """Return the last line."""
        return self._lines[-1]

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
