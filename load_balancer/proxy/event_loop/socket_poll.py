"""Polls one socket beside the event loop, which reports an event one iteration later, or not while paused."""

from __future__ import annotations

import select


def poll_socket(descriptor: int, event: int) -> bool:
    """Whether this event, an error or a hang-up is pending on the descriptor right now."""
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))
