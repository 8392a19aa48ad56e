"""Counters of a node, which are logged at intervals and when the node stops."""

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
    """The client sent no valid request under /api on the connection."""

    EVICTED = "evicted"
    RESPONSE_UNREAD = "response_unread"
    LAST_RESPONSE = "last_response"
    """The last response announced the close: the client had requested it, the request was invalid, or the
    node was draining.
    """

    DRAINED = "drained"
    STOPPED = "stopped"


class NodeCounters:
    """Counts what has happened since the start of the process.

    Attributes:
        accepted: requests that were accepted.
        abandoned: accepted requests whose client left before the response.
        responses: responses by status, including responses to readiness checks.
        finished: requests that were rejected or failed, by reason.
        written: attempts whose bytes were written to a connection.
        shed_incomplete: requests that were refused before they were complete, for lack of memory.
        withheld: attempts that were not written because the deduplication window of their key had ended, or
            because a process that does not know their key may have come up at the endpoint's address.
        outcomes: attempts that have ended, by outcome.
        closed: client connections that the node closed, by reason.
    """

    def __init__(self) -> None:
        self.accepted = 0
        self.abandoned = 0
        self.shed_incomplete = 0
        self.written = 0
        self.withheld = 0
        self.responses: Counter[int] = Counter()
        self.finished: Counter[FinishReason] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.closed: Counter[CloseReason] = Counter()

    def summary(self, rules: RuleMonitor) -> str:
        """Return all counts as the fields of one log line."""
        fields = {
            "accepted": str(self.accepted),
            "abandoned": str(self.abandoned),
            "shed_incomplete": str(self.shed_incomplete),
            "written": str(self.written),
            "withheld": str(self.withheld),
            "responses": _format_counts(
                {str(status): count for status, count in sorted(self.responses.items())}
            ),
            "finished": _format_counts({reason.value: count for reason, count in self.finished.items()}),
            "outcomes": _format_counts({outcome.value: count for outcome, count in self.outcomes.items()}),
            "closed": _format_counts({reason.value: count for reason, count in self.closed.items()}),
            "violations": _format_counts({rule.value: count for rule, count in rules.violations.items()}),
        }
        return " ".join(f"{name}={value}" for name, value in fields.items())


def _format_counts(counts: Mapping[str, int]) -> str:
    return ",".join(f"{name}:{count}" for name, count in counts.items()) or "-"


class CounterReport:
    """Logs the counters at intervals and when the node stops, in each case only if they have changed."""

    def __init__(self, counters: NodeCounters, rules: RuleMonitor) -> None:
        self._counters = counters
        self._rules = rules
        self._timers = TimerGroup()
        self._last_summary = ""

    def start(self) -> None:
        """Start to log the counters at intervals."""
        self._timers.call_later(REPORT_INTERVAL_S, self._report)

    def stop(self) -> None:
        """Stop logging at intervals, and log the final counts."""
        self._timers.cancel_all()
        self._log()

    def _report(self) -> None:
        self.start()
        self._log()

    def _log(self) -> None:
        summary = self._counters.summary(self._rules)
        if summary != self._last_summary:
            self._last_summary = summary
            log.info("counters_reported %s", summary, extra=UNLIMITED)
