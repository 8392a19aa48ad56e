"""Records rule violations: counts them for each rule and logs a line for each violation."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)


class Rule(Enum):
    """A rule that the node must not violate; each member is named after its violation."""

    REPEATED = "repeated"
    """The attempt would repeat a non-idempotent request that may already have run."""

    OUTSIDE_WINDOW = "outside_window"
    """The deduplication window of the idempotency key is over."""

    OUTSIDE_SCOPE = "outside_scope"
    """The endpoint is not in the deduplication scope of the endpoint that may have run the request."""

    UNKNOWN_PROCESS = "unknown_process"
    """A process that does not know the idempotency key may have come up at the endpoint's address."""

    CONCURRENT = "concurrent"
    """An earlier attempt is in flight, and the settings forbid hedging."""

    ATTEMPT_LIMIT = "attempt_limit"
    """The settings allow no further attempt of the request."""

    NOT_SERVING = "not_serving"
    """The endpoint is not listed as serving."""

    FINISHED = "finished"
    """The request has already been answered, or its client has left."""

    REJECTED_AFTER_RUN = "rejected_after_run"
    """A rejection would tell the client that a retry is safe, but the request may already have run."""

    CLOSED_UNANSWERED = "closed_unanswered"
    """The node closed a connection on which an accepted request was not answered."""


class RuleMonitor:
    """Counts and logs rule violations.

    Attributes:
        violations: the number of violations of each rule.  It includes the violations that were found and
            prevented by the check right before an attempt was written or a request was rejected.
    """

    def __init__(self) -> None:
        self.violations: Counter[Rule] = Counter()

    def report(self, rule: Rule, **fields: object) -> None:
        """Count and log one violation; the fields of the log line say where it was found."""
        self.violations[rule] += 1
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        log.error("invariant_violated rule=%s %s", rule.value, text)
