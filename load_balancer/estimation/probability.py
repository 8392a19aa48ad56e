"""Arithmetic of probability vectors."""

from __future__ import annotations

from collections.abc import Sequence


def apply_floor(ratios: Sequence[float], floor: float) -> list[float]:
    """Probabilities of at least the floor that sum to 1; those above the floor keep their ratios."""
    at_floor: set[int] = set()
    while ratios:
        total = sum(x for i, x in enumerate(ratios) if i not in at_floor)
        scale = (1.0 - len(at_floor) * floor) / total if total > 0 else 0.0
        below = {i for i, x in enumerate(ratios) if i not in at_floor and x * scale < floor}
        if not below:
            return [floor if i in at_floor else x * scale for i, x in enumerate(ratios)]
        at_floor |= below
    return []
