"""Arithmetic of probability vectors."""

from __future__ import annotations

from collections.abc import Sequence


def floored(ratios: Sequence[float], floor: float) -> list[float]:
    """Probabilities of at least the floor that sum to 1 and keep the ratios of all that stand above it."""
    low: set[int] = set()
    while ratios:
        total = sum(x for i, x in enumerate(ratios) if i not in low)
        scale = (1.0 - len(low) * floor) / total if total > 0 else 0.0
        under = {i for i, x in enumerate(ratios) if i not in low and x * scale < floor}
        if not under:
            return [floor if i in low else x * scale for i, x in enumerate(ratios)]
        low |= under
    return []
