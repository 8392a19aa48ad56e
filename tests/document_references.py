"""Read the references in the project's documents: paths, modules by section, and functions by file."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path, PurePosixPath

ROOT = Path(__file__).parent.parent
SEARCHED_FOLDERS = (".ci", "deploy", "docs", "fault_soak", "load_balancer", "tests", "tools")
# Documents may name these files although the repository need not contain them: config.json is an example, and
# KNOWN-RED.txt exists only while tests are known to fail.
NOT_IN_REPOSITORY = frozenset({"config.json", "KNOWN-RED.txt"})

_CODE_SPAN = re.compile(r"`([^`\n]+)`")
_PATH = re.compile(
    r"\.?[\w-][\w.-]*(?:/[\w.-]+)*/|\.?[\w-][\w.-]*(?:/[\w.-]+)+|[\w-]+\.(?:py|toml|md|txt|json|c)"
)
_LINK = re.compile(r"\]\(([^)#:]+)\)")
_PACKAGE = re.compile(r"\bload_balancer(?:/\w+)*")


@dataclass(frozen=True, slots=True, order=True)
class Symbol:
    """A function, class, constant or test that a document names, and the file that must define it.

    Attributes:
        path: the path of the file, as the document writes it.
        name: a name that the file defines at its top level, or ``Class.name``.
    """

    path: str
    name: str


def existing_paths() -> frozenset[str]:
    """Return all files and folders that a document may name, relative to the root of the repository."""
    paths = [*ROOT.glob("*.*"), *(ROOT / folder for folder in SEARCHED_FOLDERS)]
    for folder in SEARCHED_FOLDERS:
        paths += (ROOT / folder).rglob("*")
    return frozenset(path.relative_to(ROOT).as_posix() for path in paths)


def modules_of_package() -> frozenset[str]:
    """Return the modules of load_balancer, without __init__.py, relative to the root of the repository."""
    modules = (ROOT / "load_balancer").rglob("*.py")
    return frozenset(path.relative_to(ROOT).as_posix() for path in modules if path.name != "__init__.py")


def paths_in_code_spans(text: str) -> set[str]:
    """Return the words in code spans that look like a path in the repository, without a slash at the end.

    Paths in .venv and those in NOT_IN_REPOSITORY are omitted.
    """
    words = {word for span in _CODE_SPAN.findall(text) for word in span.split()}
    paths = {word.rstrip("/") for word in words if _PATH.fullmatch(word)}
    return {path for path in paths if not path.startswith(".venv")} - NOT_IN_REPOSITORY


def matches_existing_path(path: str, existing: frozenset[str]) -> bool:
    """Check whether a path is an existing path or consists of the last components of an existing path."""
    return path in existing or any(candidate.endswith("/" + path) for candidate in existing)


def link_targets(text: str) -> set[str]:
    """Return the targets of the links in a document, relative to the document."""
    return set(_LINK.findall(text))


def listed_modules(architecture: str) -> set[str]:
    """Return the modules that the first columns of the tables in the architecture document list.

    A file name without a folder belongs to each package that the heading of the section names.  A path is
    relative to one of these packages, to one of their parent folders, or to the root of the repository.
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


def symbols_on_races_page(page: str) -> set[Symbol]:
    """Return the functions, constants and tests in docs/races.md, each with the path that precedes it."""
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
    """Return the file to which a path in docs/races.md refers, or None if there is no such file.

    The path is taken as relative to load_balancer, then to tests, then to the root of the repository.
    """
    candidates = (ROOT / "load_balancer" / path, ROOT / "tests" / path, ROOT / path)
    return next((candidate for candidate in candidates if candidate.is_file()), None)


def defined_names(source: Path) -> set[str]:
    """Return the names that a Python file defines at top level and in classes, or the keys of a TOML file."""
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
