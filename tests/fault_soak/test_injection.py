"""Tests of the injectors of faults."""

from __future__ import annotations

from fault_soak.faults import FaultKind
from fault_soak.injection.injector import INJECTORS


def test_every_kind_of_fault_has_an_injector() -> None:
    assert set(INJECTORS) == set(FaultKind)
