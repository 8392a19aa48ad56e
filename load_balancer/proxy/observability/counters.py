"""Counters of a node, reported in a log line from time to time and at the end."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from enum import Enum

from load_balancer.actions import FinishReason
from load_balancer.events import Outcome
from load_balancer.logging_setup import UNLIMITED
from load_balancer.proxy.event_loop.timer_group import TimerGroup
from load_balancer.proxy.observability.rule_monitor import RuleMonitor

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 10.0


class CloseReason(Enum):
    """Why the node closed a client's connection."""

    IDLE = "idle"
    UNUSED = "unused"
    """No request for the endpoints came on it."""

    EVICTED = "evicted"
    RESPONSE_UNREAD = "response_unread"
    LAST_RESPONSE = "last_response"
    """The last response announced it: requested by the client, request invalid, or node draining."""

    DRAINED = "drained"
    STOPPED = "stopped"


class NodeCounters:
    """Counts since the start of the process.

    Attributes:
        accepted: requests that were accepted.
        abandoned: accepted requests whose client left before the response.
        responses: responses by status, readiness checks among them.
        finished: requests that were rejected or failed, by reason.
        written: attempts that were written.
        withheld: attempts that were not written, as the deduplication window of their key was over.
        outcomes: ended attempts by outcome.
        closed: client connections that the node closed, by reason.
    """

    def __init__(self) -> None:
        self.accepted = 0
        self.abandoned = 0
        self.written = 0
        self.withheld = 0
        self.responses: Counter[int] = Counter()
        self.finished: Counter[FinishReason] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.closed: Counter[CloseReason] = Counter()

    def summary(self, rules: RuleMonitor) -> str:
        """All counts as the fields of one log line."""
        fields = {
            "accepted": str(self.accepted),
            "abandoned": str(self.abandoned),
            "written": str(self.written),
            "withheld": str(self.withheld),
            "responses": _listed({str(status): count for status, count in sorted(self.responses.items())}),
            "finished": _listed({reason.value: count for reason, count in self.finished.items()}),
            "outcomes": _listed({outcome.value: count for outcome, count in self.outcomes.items()}),
            "closed": _listed({reason.value: count for reason, count in self.closed.items()}),
            "violations": _listed({rule.value: count for rule, count in rules.violations.items()}),
        }
        return " ".join(f"{name}={value}" for name, value in fields.items())


def _listed(counts: Mapping[str, int]) -> str:
    return ",".join(f"{name}:{count}" for name, count in counts.items()) or "-"


class CounterReport:
    """Logs the counters at intervals if they have changed, and at the end."""

    def __init__(self, counters: NodeCounters, rules: RuleMonitor) -> None:
        self._counters = counters
        self._rules = rules
        self._timers = TimerGroup()
        self._last = ""

    def start(self) -> None:
        """Start to log."""
        self._timers.call_later(REPORT_INTERVAL_S, self._report)

    def stop(self) -> None:
        """Log the final counts."""
        self._timers.cancel_all()
        self._log()

    def _report(self) -> None:
        self.start()
        self._log()

    def _log(self) -> None:
        summary = self._counters.summary(self._rules)
        if summary != self._last:
            self._last = summary
            log.info("counters_reported %s", summary, extra=UNLIMITED)
