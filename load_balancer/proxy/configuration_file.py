"""Reads the file that NODE_CONFIG names, with retries after errors that may be temporary."""

from __future__ import annotations

import errno
import json
import os
import time
from typing import Any, NamedTuple

from load_balancer.proxy.configuration_values import ConfigurationError

# Pauses in seconds between the reads when a node starts: for a file that is half written, and for a file that
# temporarily cannot be opened or read.
_HALF_WRITTEN_PAUSES_S = (0.05, 0.1, 0.2, 0.4)
_TRANSIENT_PAUSES_S = (*_HALF_WRITTEN_PAUSES_S, 0.8, 1.0, 1.0, 1.0)
_TRANSIENT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EIO, errno.EAGAIN})


class ConfigurationFileError(ConfigurationError):
    """Raised if the configuration file cannot be read.

    Attributes:
        retry_pauses_s: the pauses in seconds before the retries; empty if a retry cannot succeed.
    """

    def __init__(self, path: str, error: Exception) -> None:
        super().__init__("NODE_CONFIG", f"{path} cannot be read: {error}", separator=": ")
        self.retry_pauses_s = _retry_pauses_s(error)


def _retry_pauses_s(error: Exception) -> tuple[float, ...]:
    if isinstance(error, OSError):
        return _TRANSIENT_PAUSES_S if error.errno in _TRANSIENT_ERRORS else ()
    return _HALF_WRITTEN_PAUSES_S if isinstance(error, ValueError) else ()


class FileStamp(NamedTuple):
    """Identifies the content of a file: the stamp changes when the file is replaced or written."""

    inode: int
    size: int
    modified_ns: int


def read_file_stamp(path: str) -> FileStamp | None:
    """Return the current stamp of a file, or None if the file does not exist or is not accessible."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileStamp(status.st_ino, status.st_size, status.st_mtime_ns)


def read_file(path: str) -> dict[str, Any]:
    """Read the configuration file without retries.

    Raises:
        ConfigurationError: the file cannot be read or does not contain a JSON object.
    """
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationFileError(path, error) from error
    if not isinstance(raw, dict):
        raise ConfigurationError.within("NODE_CONFIG", f"{path} does not contain a JSON object")
    return raw


def read_file_with_retries(path: str) -> dict[str, Any]:
    """Read the configuration file; retry after a pause if it is half written or temporarily unreadable.

    Raises:
        ConfigurationError: the file cannot be read or does not contain a JSON object.
    """
    retries = 0
    while True:
        try:
            return read_file(path)
        except ConfigurationFileError as error:
            if retries >= len(error.retry_pauses_s):
                raise
            time.sleep(error.retry_pauses_s[retries])
            retries += 1
