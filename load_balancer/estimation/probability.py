"""Arithmetic on probability vectors."""

from __future__ import annotations

from collections.abc import Sequence


def apply_floor(ratios: Sequence[float], floor: float) -> list[float]:
    """Return probabilities that sum to 1 and are at least the floor.

    The probabilities above the floor keep their ratios.

    Args:
        ratios: the ratios of the probabilities; they need not sum to 1.
        floor: the minimum of each probability.
    """
    at_floor: set[int] = set()
    while ratios:
        total = sum(x for i, x in enumerate(ratios) if i not in at_floor)
        scale = (1.0 - len(at_floor) * floor) / total if total > 0 else 0.0
        below = {i for i, x in enumerate(ratios) if i not in at_floor and x * scale < floor}
        if not below:
            return [floor if i in at_floor else x * scale for i, x in enumerate(ratios)]
        at_floor |= below
    return []
