"""Remembers the ids of requests that may have run at an endpoint and must not run again.

A client may send a request again under the same id, for example after it has left while the request was in
service.  An endpoint cannot know that the first one was abandoned.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b

# The memory in bytes that one remembered id takes: its digest, and its entries in a set and in a queue.
REMEMBERED_ID_BYTES = 256
_DIGEST_BYTES = 16


class ExecutedIds:
    """The ids of the last requests that may have run, as digests of equal size.

    Attributes:
        capacity: the number of ids that are remembered; the one that was added first is forgotten first.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create an empty collection.

        Args:
            max_bytes: the memory that the ids may take.
        """
        self.capacity = max(1, max_bytes // REMEMBERED_ID_BYTES)
        self._digests: set[bytes] = set()
        self._oldest_first: deque[bytes] = deque()

    def __len__(self) -> int:
        return len(self._digests)

    def __contains__(self, client_id: bytes) -> bool:
        return _digest(client_id) in self._digests

    def add(self, client_id: bytes) -> None:
        """Remember an id."""
        digest = _digest(client_id)
        if digest in self._digests:
            return
        if len(self._oldest_first) >= self.capacity:
            self._digests.remove(self._oldest_first.popleft())
        self._digests.add(digest)
        self._oldest_first.append(digest)


def _digest(client_id: bytes) -> bytes:
    return blake2b(client_id, digest_size=_DIGEST_BYTES).digest()
