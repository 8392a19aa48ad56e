"""The pages name only what exists, and the architecture page lists every module."""

from __future__ import annotations

import pytest

from tests.document_references import (
    ROOT,
    Symbol,
    defined_names,
    existing_paths,
    is_end_of_any,
    link_targets,
    listed_modules,
    modules_of_package,
    paths_in_code_spans,
    source_file,
    symbols_of_races,
)

ARCHITECTURE = "docs/architecture.md"
PAGES = (ARCHITECTURE, "docs/design.md", "docs/races.md", "docs/operations.md", "README.md", "DEVELOPERS.md")


@pytest.mark.parametrize("page", PAGES)
def test_paths_on_a_page_exist(page: str) -> None:
    existing = existing_paths()
    named = paths_in_code_spans((ROOT / page).read_text())
    missing = sorted(path for path in named if not is_end_of_any(path, existing))
    assert not missing, f"{page} names paths that do not exist: {missing}"


@pytest.mark.parametrize("page", PAGES)
def test_links_on_a_page_exist(page: str) -> None:
    folder = (ROOT / page).parent
    missing = sorted(
        target for target in link_targets((ROOT / page).read_text()) if not (folder / target).exists()
    )
    assert not missing, f"{page} links to what does not exist: {missing}"


def test_architecture_page_lists_every_module() -> None:
    missing = sorted(modules_of_package() - listed_modules((ROOT / ARCHITECTURE).read_text()))
    assert not missing, f"{ARCHITECTURE} does not list: {missing}"


def test_functions_and_tests_on_races_page_exist() -> None:
    missing = sorted(
        symbol for symbol in symbols_of_races((ROOT / "docs" / "races.md").read_text()) if not _exists(symbol)
    )
    assert not missing, "docs/races.md names what does not exist: " + ", ".join(
        f"{symbol.path} {symbol.name}" for symbol in missing
    )


def _exists(symbol: Symbol) -> bool:
    source = source_file(symbol.path)
    return source is not None and symbol.name in defined_names(source)


def test_paths_are_distinguished_from_other_code() -> None:
    text = (
        "`proxy/node.py` `tests/` `/ready` `a.b` `.ci/run` `.venv/bin/python tools/x.py --seeds 1-2` `{}/x`"
    )
    assert paths_in_code_spans(text) == {"proxy/node.py", "tests", ".ci/run", "tools/x.py"}


def test_modules_are_listed_under_the_package_of_their_heading() -> None:
    page = "### load_balancer/proxy: sockets\n| module | |\n| --- | --- |\n| `http/reader.py` | `node.py` |\n"
    assert "load_balancer/proxy/http/reader.py" in listed_modules(page)
    assert "load_balancer/proxy/node.py" not in listed_modules(page)


def test_races_are_read_with_the_path_before_each_name() -> None:
    row = "| a | b | `proxy/node.py` `Node.wait`, `Node.stop` | c | `process/test_log.py` `test_x` | held |"
    assert symbols_of_races(row) == {
        Symbol("proxy/node.py", "Node.wait"),
        Symbol("proxy/node.py", "Node.stop"),
        Symbol("process/test_log.py", "test_x"),
    }
