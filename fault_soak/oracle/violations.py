"""The rules that the oracle checks, and the violations of these rules."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Rule(Enum):
    """A rule that can be broken; the value is the name of the rule in reports."""

    LOST = "lost"
    """An accepted request received no complete response in time."""

    CLOSED_UNREAD = "closed-unread"
    """A node closed a new connection without a response and without any attempt of the request."""

    DUPLICATE = "duplicate"
    """A request was executed more often than its class allows."""

    REJECTED_AFTER_RUN = "refused-after-run"
    """A request was rejected although a server may have executed it.

    A rejection declares that a retry is safe.
    """

    HEDGED = "hedged-where-forbidden"
    """Two attempts of a request were in flight at once although the settings forbid hedged requests."""

    ATTEMPT_LIMIT = "attempt-limit"
    """A request had more attempts than the settings allow."""

    DRAIN = "drain"
    """An attempt reached a draining or deleted server after the end of the drain grace."""

    ATTEMPT_AFTER_CLIENT_LEFT = "attempt-after-client-left"
    """An attempt began too long after the client of the request had left."""

    FORWARDED_DEADLINE = "deadline-told"
    """A node forwarded a deadline that was later than the client's own deadline, or not valid."""

    WRONG_BODY = "wrong-body"
    """A 200 response had the wrong body, or a server received a request id that no client sent."""

    RETRY_AFTER = "retry-after"
    """A rejection had no Retry-After header, or the value of the header was outside the limits."""

    SLOW_START = "slow-start"
    """Nodes sent more attempts to a server that was warming up than it can handle."""

    STARVED = "starved"
    """A node sent no attempts for several seconds, although it had requests and servers were available."""

    CRASH = "crash"
    """A node process ended without SIGTERM or SIGKILL."""

    EXIT_CODE = "exit-code"
    """A node process that had become ready exited with a code other than 0 after SIGTERM."""

    READINESS = "readiness"
    """A node process did not become ready in time."""

    BAD_CLIENT = "bad-client"
    """A client that sent only a part of a request got no error response and was not disconnected in time."""

    DESCRIPTORS = "descriptors"
    """A node had more open descriptors than its limit."""

    MEMORY = "memory"
    """A node used more resident memory than its limit."""

    INTERNAL = "internal-fault"
    """A node logged an internal error."""

    LOCAL_FAILURE_ATTRIBUTED = "charged-for-local-failure"
    """A node ejected a server because connects had failed on the node's own machine."""

    COUNTERS = "counters"
    """Servers received more attempts from a node than the node counted."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule.

    Attributes:
        rule: the rule that was broken.
        subject: the request, node or server that the violation concerns.
        detail: the evidence in the history, for the reader of a report.
    """

    rule: Rule
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule.value}: {self.subject}: {self.detail}"
