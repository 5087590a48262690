"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, who: str, text: str) -> None:
        """Write a line.

        Args:
            who: The party that it is about.
            text: What it did.
        """
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {who:<10} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
