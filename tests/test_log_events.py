"""Tests that docs/operations.md lists the log events of the code, and that event names have one form.

An event name consists of a subject and a past participle.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from tests.log_event_names import (
    LogEventName,
    UnreadableEventError,
    log_events_of_package,
    log_events_of_source,
)

ROOT = Path(__file__).parent.parent
EVENT_ROW = re.compile(r"^\| `(\w+)` \| (DEBUG|INFO|WARNING|ERROR|CRITICAL) \|", re.M)
SUBJECT_AND_PARTICIPLE = re.compile(r"([a-z]+_)+([a-z]+ed|lost|overridden)")

SAMPLE = """
log.warning("endpoint_lost name=%s", name)
logger.exception("request_failed")

def report(stopped):
    count, name = 2, "shedding_stopped" if stopped else "shedding_started"
    context.log(name, count=count)
    return LogEvent("endpoint_ejected", ())

def log(self, name):
    log.info("%s", LogEvent(name))
"""


def _documented_events() -> set[LogEventName]:
    page = (ROOT / "docs" / "operations.md").read_text()
    return {LogEventName(name, level) for name, level in EVENT_ROW.findall(page)}


def test_operations_page_lists_exactly_the_events_of_the_code() -> None:
    in_code = log_events_of_package(ROOT / "load_balancer")
    documented = _documented_events()
    assert not in_code - documented, f"not in docs/operations.md: {sorted(in_code - documented)}"
    assert not documented - in_code, f"not in the code: {sorted(documented - in_code)}"


def test_event_names_are_subject_and_past_participle() -> None:
    names = {event.name for event in log_events_of_package(ROOT / "load_balancer")}
    malformed = sorted(name for name in names if not SUBJECT_AND_PARTICIPLE.fullmatch(name))
    assert names and not malformed


def test_event_names_are_read_from_every_kind_of_logging_call() -> None:
    assert log_events_of_source(SAMPLE) == {
        LogEventName("endpoint_lost", "WARNING"),
        LogEventName("request_failed", "ERROR"),
        LogEventName("shedding_stopped", "INFO"),
        LogEventName("shedding_started", "INFO"),
        LogEventName("endpoint_ejected", "INFO"),
    }


def test_event_name_that_is_not_a_constant_is_an_error() -> None:
    with pytest.raises(UnreadableEventError, match="2: "):
        log_events_of_source("def report():\n    log.info(describe())\n")
