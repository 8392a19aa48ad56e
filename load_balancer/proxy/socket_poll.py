"""A look at a socket beside the loop, which tells of it in its next turn only, or not while it is paused."""

from __future__ import annotations

import select


def polls(descriptor: int, event: int) -> bool:
    """Whether this event, an error or a hang-up is there right now."""
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))
