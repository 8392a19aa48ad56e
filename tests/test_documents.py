"""Tests that the documents refer only to things that exist, and that the architecture lists every module."""

from __future__ import annotations

import pytest

from tests.document_references import (
    ROOT,
    Symbol,
    defined_names,
    existing_paths,
    link_targets,
    listed_modules,
    matches_existing_path,
    modules_of_package,
    paths_in_code_spans,
    source_file,
    symbols_on_races_page,
)

ARCHITECTURE = "docs/architecture.md"
PAGES = (ARCHITECTURE, "docs/design.md", "docs/races.md", "docs/operations.md", "README.md", "DEVELOPERS.md")


@pytest.mark.parametrize("page", PAGES)
def test_paths_on_a_page_exist(page: str) -> None:
    existing = existing_paths()
    named = paths_in_code_spans((ROOT / page).read_text())
    missing = sorted(path for path in named if not matches_existing_path(path, existing))
    assert not missing, f"{page} names paths that do not exist: {missing}"


@pytest.mark.parametrize("page", PAGES)
def test_link_targets_on_a_page_exist(page: str) -> None:
    folder = (ROOT / page).parent
    missing = sorted(
        target for target in link_targets((ROOT / page).read_text()) if not (folder / target).exists()
    )
    assert not missing, f"{page} links to files that do not exist: {missing}"


def test_architecture_page_lists_every_module() -> None:
    missing = sorted(modules_of_package() - listed_modules((ROOT / ARCHITECTURE).read_text()))
    assert not missing, f"{ARCHITECTURE} does not list: {missing}"


def test_functions_and_tests_on_races_page_exist() -> None:
    missing = sorted(
        symbol
        for symbol in symbols_on_races_page((ROOT / "docs" / "races.md").read_text())
        if not _is_defined(symbol)
    )
    assert not missing, "docs/races.md names symbols that do not exist: " + ", ".join(
        f"{symbol.path} {symbol.name}" for symbol in missing
    )


def _is_defined(symbol: Symbol) -> bool:
    source = source_file(symbol.path)
    return source is not None and symbol.name in defined_names(source)


def test_paths_are_distinguished_from_other_code_spans() -> None:
    text = (
        "`proxy/node.py` `tests/` `/ready` `a.b` `.ci/run` `.venv/bin/python tools/x.py --seeds 1-2` `{}/x`"
    )
    assert paths_in_code_spans(text) == {"proxy/node.py", "tests", ".ci/run", "tools/x.py"}


def test_modules_are_listed_under_the_package_of_their_heading() -> None:
    page = "### load_balancer/proxy: sockets\n| module | |\n| --- | --- |\n| `http/reader.py` | `node.py` |\n"
    assert "load_balancer/proxy/http/reader.py" in listed_modules(page)
    assert "load_balancer/proxy/node.py" not in listed_modules(page)


def test_symbols_on_races_page_are_read_with_the_path_before_them() -> None:
    row = "| a | b | `proxy/node.py` `Node.wait`, `Node.stop` | c | `process/test_log.py` `test_x` | held |"
    assert symbols_on_races_page(row) == {
        Symbol("proxy/node.py", "Node.wait"),
        Symbol("proxy/node.py", "Node.stop"),
        Symbol("process/test_log.py", "test_x"),
    }
