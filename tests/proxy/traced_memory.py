"""Measures the memory that objects of this process hold, without the help of the cyclic garbage collector."""

from __future__ import annotations

import contextlib
import gc
import tracemalloc
from collections.abc import Iterator


def traced_bytes() -> int:
    """Return the size of all objects that were created in ``without_garbage_collection`` and still exist."""
    return tracemalloc.get_traced_memory()[0]


@contextlib.contextmanager
def without_garbage_collection() -> Iterator[None]:
    """Let memory be freed by reference counts alone, as between two runs of the cyclic collector."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()
