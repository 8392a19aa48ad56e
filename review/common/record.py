"""The record of a case: what was sent, answered and run, one line for each event."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Writes the lines of a case to its file ``record.txt``.

    Each line has the seconds since the start of the case, the name of an event and its fields.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def add(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{self.now():9.4f} {event} {text}".rstrip() + "\n")
            self._file.flush()

    def say(self, event: str, **fields: object) -> None:
        """Write one line, and print it on standard output as well."""
        self.add(event, **fields)
        print(event, " ".join(f"{name}={value}" for name, value in fields.items()), flush=True)
