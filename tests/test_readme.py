"""Test that the Python example in README.md runs and selects one of its endpoints."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_readme_example_runs_and_sends_the_request() -> None:
    readme = (Path(__file__).parent.parent / "README.md").read_text()
    examples = re.findall(r"```python\n(.*?)```", readme, re.S)
    assert len(examples) == 1
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(examples[0], {})
    assert printed.getvalue() in ("send request 1 to a\n", "send request 1 to b\n")
