"""Builds the library of failing system calls, and controls it in running nodes."""

from __future__ import annotations

import errno
import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
_ENTRY = struct.Struct("=iiII")


class Failure(IntEnum):
    """The failures, in the order of the library's table."""

    ACCEPT = 0
    CONNECT = 1
    SOCKET = 2
    OPEN = 3
    READ = 4
    SHORT = 5
    INTERRUPT = 6
    PAUSE = 7
    CLOCK = 8


ERRORS: dict[Failure, tuple[int, ...]] = {
    Failure.ACCEPT: (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS),
    Failure.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN),
    Failure.SOCKET: (errno.ENFILE, errno.ENOBUFS),
    Failure.OPEN: (errno.EMFILE, errno.ENFILE, errno.EIO),
    Failure.READ: (errno.ETIMEDOUT, errno.EHOSTUNREACH),
    Failure.SHORT: (0,),
    Failure.INTERRUPT: (errno.EINTR,),
    Failure.PAUSE: (150_000,),
    Failure.CLOCK: (0,),
}


def build_shim(directory: Path) -> Path | None:
    """Compile the library; None where the machine has no C compiler."""
    compiler = shutil.which("cc")
    if compiler is None:
        return None
    library = directory / "soak_shim.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return library


class ShimControl:
    """The table of failures that one node's library reads."""

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(_ENTRY.size * len(Failure)))
        with path.open("r+b") as file:
            self._table = mmap.mmap(file.fileno(), 0)
        self.path = path

    def set(self, failure: Failure, thousandths: int, error: int) -> None:
        """Have a fraction of the calls fail from now on, in thousandths."""
        _, _, fired, unused = self._read(failure)
        self._table[self._slice(failure)] = _ENTRY.pack(thousandths, error, fired, unused)

    def clear(self, failure: Failure) -> None:
        """Have no call fail any more."""
        self.set(failure, 0, 0)

    def fired(self, failure: Failure) -> int:
        """How many calls have failed."""
        return self._read(failure)[2]

    def _read(self, failure: Failure) -> tuple[int, int, int, int]:
        thousandths, error, fired, unused = _ENTRY.unpack(self._table[self._slice(failure)])
        return thousandths, error, fired, unused

    @staticmethod
    def _slice(failure: Failure) -> slice:
        return slice(_ENTRY.size * failure, _ENTRY.size * (failure + 1))
