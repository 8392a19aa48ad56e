"""The last check before a request is written or rejected, on a record of its own.

The policy decides by its own records; this one is kept where the bytes leave the node, from what was written
and how it ended.  Where the two disagree one of them has a fault: the attempt is not written, the rejection
is a failure instead, and the violation is counted and logged.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from load_balancer.events import NOT_EXECUTED, Endpoint, Outcome
from load_balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings

log = logging.getLogger(__name__)


class Rule(Enum):
    """What an attempt or an answer would have broken."""

    REPEATED = "repeated"
    """A request that must not run twice may have run."""

    OUTSIDE_WINDOW = "outside_window"
    """The servers may have forgotten the idempotency key."""

    OUTSIDE_SCOPE = "outside_scope"
    """The server does not share its idempotency keys with the one that may have run the request."""

    CONCURRENT = "concurrent"
    """An earlier attempt is in flight, where hedging is forbidden."""

    ATTEMPT_LIMIT = "attempt_limit"
    """The settings allow no more attempts."""

    NOT_SERVING = "not_serving"
    """The endpoint is not listed as serving."""

    FINISHED = "finished"
    """The request has its answer, or its client has left."""

    REJECTED_AFTER_RUN = "rejected_after_run"
    """A rejection would say that a retry is harmless."""

    CLOSED_UNANSWERED = "closed_unanswered"
    """The node closed a connection with a request that it had accepted and not answered."""


@dataclass(slots=True)
class WrittenAttempt:
    """An attempt that was written.

    Attributes:
        endpoint: the endpoint's row in the list as it was written.
        written_ms: when, on the node's clock.
        outcome: how it ended; None while it is in flight.
    """

    endpoint: Endpoint
    written_ms: float
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Whether its server may have executed it, or may yet."""
        return self.outcome is None or self.outcome not in NOT_EXECUTED


class RequestGuard:
    """The attempts of one request that were written, and what they forbid."""

    def __init__(self, settings: Settings, class_index: int) -> None:
        self._settings = settings
        self._class: RequestClass = settings.classes[class_index]
        self._written: dict[int, WrittenAttempt] = {}

    def check_write(self, endpoint: Endpoint | None, now_ms: float) -> Rule | None:
        """The rule that an attempt written to this endpoint now would break; None where it breaks none."""
        if endpoint is None:
            return Rule.NOT_SERVING
        if len(self._written) >= self._settings.max_attempts:
            return Rule.ATTEMPT_LIMIT
        in_flight = any(attempt.outcome is None for attempt in self._written.values())
        if in_flight and not self._settings.hedging_allowed:
            return Rule.CONCURRENT
        possible_runs = [attempt for attempt in self._written.values() if attempt.may_have_run()]
        return self._check_repeat(possible_runs[0], endpoint, now_ms) if possible_runs else None

    def _check_repeat(self, first: WrittenAttempt, endpoint: Endpoint, now_ms: float) -> Rule | None:
        if self._class.idempotency is Idempotency.IDEMPOTENT:
            return None
        if self._class.idempotency is Idempotency.NON_IDEMPOTENT:
            return Rule.REPEATED
        if now_ms >= first.written_ms + self._class.deduplication_window_ms:
            return Rule.OUTSIDE_WINDOW
        return None if self._shares_keys(first.endpoint, endpoint) else Rule.OUTSIDE_SCOPE

    def _shares_keys(self, first: Endpoint, other: Endpoint) -> bool:
        scope = self._class.deduplication_scope
        if scope is DeduplicationScope.ZONE:
            return first.zone == other.zone
        return scope is DeduplicationScope.ALL or first.cell == other.cell

    def record_write(self, number: int, endpoint: Endpoint, now_ms: float) -> None:
        """An attempt is being written."""
        self._written[number] = WrittenAttempt(endpoint, now_ms)

    def record_outcome(self, number: int, outcome: Outcome) -> None:
        """An attempt has ended, written or not."""
        attempt = self._written.get(number)
        if attempt is not None:
            attempt.outcome = outcome

    def may_reject(self) -> bool:
        """Whether a client may be told that a retry is harmless."""
        if self._class.idempotency is Idempotency.IDEMPOTENT:
            return True
        anywhere = self._class.deduplication_scope is DeduplicationScope.ALL
        if self._class.idempotency is Idempotency.KEYED and anywhere:
            return True
        return not any(attempt.may_have_run() for attempt in self._written.values())


class RuleMonitor:
    """Counts and logs what the last check has found.

    Attributes:
        violations: how often each rule would have been broken, or was.
    """

    def __init__(self) -> None:
        self.violations: Counter[Rule] = Counter()

    def report(self, rule: Rule, **fields: object) -> None:
        """Record one violation; the fields say where."""
        self.violations[rule] += 1
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        log.error("invariant_violated rule=%s %s", rule.value, text)
