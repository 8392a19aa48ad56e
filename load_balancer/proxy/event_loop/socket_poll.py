"""Polls one socket directly, without the event loop.

The event loop would report a pending event only one iteration later, and not at all while reading is paused.
"""

from __future__ import annotations

import select


def poll_socket(descriptor: int, event: int) -> bool:
    """Return whether the event (such as ``select.POLLIN``), an error or a hang-up is pending now."""
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))
