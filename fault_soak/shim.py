"""The build and the control of the shim, a preloaded library that makes system calls of nodes fail."""

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
    """The failures that the shim can cause; a value is the index of the failure in the shim's table.

    ACCEPT, CONNECT, SOCKET, OPEN and READ make the system call fail with an error. SHORT limits reads and
    writes to one byte, INTERRUPT interrupts waits for events, PAUSE pauses the process before it writes, and
    CLOCK shifts the wall clock.
    """

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
"""The possible errors of each failure, as values of errno.

For PAUSE, the value is the length of the pause in microseconds.  SHORT and CLOCK use no error; their value
is 0.
"""


def build_shim(directory: Path) -> Path | None:
    """Compile the shim and return its path, or None if the machine has no C compiler."""
    compiler = shutil.which("cc")
    if compiler is None:
        return None
    library = directory / "soak_shim.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return library


class ShimControl:
    """Control of the shim in one node, through the table of failures that the shim maps from a file."""

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(_ENTRY.size * len(Failure)))
        with path.open("r+b") as file:
            self._table = mmap.mmap(file.fileno(), 0)
        self.path = path

    def set(self, failure: Failure, thousandths: int, error: int) -> None:
        """Make a fraction of the calls fail from now on.

        Args:
            failure: the failure to cause.
            thousandths: the number of calls in a thousand that fail; for CLOCK the shift in seconds.
            error: the errno of the failing calls; for PAUSE the length of a pause in microseconds.
        """
        _, _, fired, unused = self._read(failure)
        self._table[self._slice(failure)] = _ENTRY.pack(thousandths, error, fired, unused)

    def clear(self, failure: Failure) -> None:
        """Stop causing a failure."""
        self.set(failure, 0, 0)

    def fired(self, failure: Failure) -> int:
        """Return the number of calls in which a failure was caused."""
        return self._read(failure)[2]

    def _read(self, failure: Failure) -> tuple[int, int, int, int]:
        thousandths, error, fired, unused = _ENTRY.unpack(self._table[self._slice(failure)])
        return thousandths, error, fired, unused

    @staticmethod
    def _slice(failure: Failure) -> slice:
        return slice(_ENTRY.size * failure, _ENTRY.size * (failure + 1))
