"""Inspection of the objects that a balancer refers to, by means of the garbage collector."""

from __future__ import annotations

import gc
from types import FunctionType, ModuleType

from load_balancer import Balancer
from load_balancer.events import Endpoint, EndpointId


def endpoints_in_memory(balancer: Balancer) -> set[EndpointId]:
    """Return the ids of all endpoints that the balancer refers to, directly or through other objects."""
    seen: set[int] = set()
    found: set[EndpointId] = set()
    pending: list[object] = [balancer]
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, type | ModuleType | FunctionType):
            continue
        seen.add(id(item))
        if isinstance(item, Endpoint):
            found.add(item.id)
        pending.extend(gc.get_referents(item))
    return found
