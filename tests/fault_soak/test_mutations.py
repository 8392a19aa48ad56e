"""Tests that every mutation finds the source text that it replaces."""

from __future__ import annotations

from pathlib import Path

import pytest

from fault_soak.mutations import MUTATIONS, Mutation

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.name)
def test_mutation_finds_its_source(mutation: Mutation) -> None:
    for edit in mutation.edits:
        assert edit.old in (ROOT / edit.path).read_text(), edit
