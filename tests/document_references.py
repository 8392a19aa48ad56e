"""Reads what the project's pages say of its files: paths, modules by section, functions by module."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path, PurePosixPath

ROOT = Path(__file__).parent.parent
SEARCHED_FOLDERS = (".ci", "deploy", "docs", "fault_soak", "load_balancer", "tests", "tools")
NOT_IN_REPOSITORY = frozenset({"config.json", "KNOWN-RED.txt"})  # an example; a file that exists at times

_CODE_SPAN = re.compile(r"`([^`\n]+)`")
_PATH = re.compile(
    r"\.?[\w-][\w.-]*(?:/[\w.-]+)*/|\.?[\w-][\w.-]*(?:/[\w.-]+)+|[\w-]+\.(?:py|toml|md|txt|json|c)"
)
_LINK = re.compile(r"\]\(([^)#:]+)\)")
_PACKAGE = re.compile(r"\bload_balancer(?:/\w+)*")


@dataclass(frozen=True, slots=True, order=True)
class Symbol:
    """A function, a class, a constant or a test that a page names, and the file that it has to stand in.

    Attributes:
        path: the file, as the page names it.
        name: a name of the file's top level, or ``Class.name``.
    """

    path: str
    name: str


def existing_paths() -> frozenset[str]:
    """All files and folders of the repository that a page may name, relative to its root."""
    paths = [*ROOT.glob("*.*"), *(ROOT / folder for folder in SEARCHED_FOLDERS)]
    for folder in SEARCHED_FOLDERS:
        paths += (ROOT / folder).rglob("*")
    return frozenset(path.relative_to(ROOT).as_posix() for path in paths)


def modules_of_package() -> frozenset[str]:
    """The modules of load_balancer, relative to the root; not those that only make a folder a package."""
    modules = (ROOT / "load_balancer").rglob("*.py")
    return frozenset(path.relative_to(ROOT).as_posix() for path in modules if path.name != "__init__.py")


def paths_in_code_spans(text: str) -> set[str]:
    """The words in backticks that look like a path of the repository."""
    words = {word for span in _CODE_SPAN.findall(text) for word in span.split()}
    paths = {word.rstrip("/") for word in words if _PATH.fullmatch(word)}
    return {path for path in paths if not path.startswith(".venv")} - NOT_IN_REPOSITORY


def is_end_of_any(path: str, existing: frozenset[str]) -> bool:
    """Whether the path is one of those that exist, or the end of one, in whole components."""
    return path in existing or any(one.endswith("/" + path) for one in existing)


def link_targets(text: str) -> set[str]:
    """The files that a page links to, relative to the page."""
    return set(_LINK.findall(text))


def listed_modules(architecture: str) -> set[str]:
    """The modules that the first columns of tables list.

    A bare name belongs to a package that the section's heading names, a path to that package or to one above.
    """
    listed: set[str] = set()
    packages: list[PurePosixPath] = []
    for line in architecture.splitlines():
        if line.startswith("#"):
            packages = [PurePosixPath(package) for package in _PACKAGE.findall(line)] or packages
        elif line.startswith("|"):
            for name in paths_in_code_spans(line.split("|")[1]):
                listed |= {str(folder / name) for folder in _folders_of(name, packages)}
    return listed


def _folders_of(name: str, packages: list[PurePosixPath]) -> set[PurePosixPath]:
    if "/" not in name:
        return set(packages)
    return {PurePosixPath(), *packages, *(parent for package in packages for parent in package.parents)}


def symbols_of_races(page: str) -> set[Symbol]:
    """The functions, constants and tests in the rows of docs/races.md, each with the path before it."""
    symbols: set[Symbol] = set()
    for line in page.splitlines():
        cells = line.strip("|").split("|")
        if len(cells) == 6:
            symbols |= set(_symbols_of_cell(cells[2])) | set(_symbols_of_cell(cells[4]))
    return symbols


def _symbols_of_cell(cell: str) -> Iterator[Symbol]:
    path = ""
    for span in _CODE_SPAN.findall(cell):
        if _PATH.fullmatch(span):
            path = span
        else:
            yield Symbol(path, span)


def source_file(path: str) -> Path | None:
    """The file that docs/races.md means by a path: one of the package, of the tests, or from the root."""
    candidates = (ROOT / "load_balancer" / path, ROOT / "tests" / path, ROOT / path)
    return next((candidate for candidate in candidates if candidate.is_file()), None)


def defined_names(source: Path) -> set[str]:
    """The names of a file's top level and of its classes, or the keys of a TOML file."""
    if source.suffix == ".toml":
        return set(re.findall(r"^(\w+) *=", source.read_text(), re.M))
    tree = ast.parse(source.read_text())
    names = set(_names_of_body(tree.body))
    for node in tree.body:
        if isinstance(node, ast.ClassDef):
            names |= {f"{node.name}.{name}" for name in _names_of_body(node.body)}
    return names


def _names_of_body(body: list[ast.stmt]) -> Iterator[str]:
    for node in body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            yield node.name
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            yield node.target.id
        elif isinstance(node, ast.Assign):
            yield from (target.id for target in node.targets if isinstance(target, ast.Name))
