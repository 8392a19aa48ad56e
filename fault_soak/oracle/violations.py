"""The rules that the oracle checks, and the violation of one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Rule(Enum):
    """What a violation breaks; the value is the name in reports."""

    LOST = "lost"
    """A request that was accepted got no complete answer in time."""

    CLOSED_UNREAD = "closed-unread"
    """The same, where the node closed a new connection and forwarded nothing of the request."""

    DUPLICATE = "duplicate"
    """A request was executed more often than its class allows."""

    REJECTED_AFTER_RUN = "refused-after-run"
    """A request was rejected, as if a retry were harmless, after a server may have executed it."""

    HEDGED = "hedged-where-forbidden"
    ATTEMPT_LIMIT = "attempt-limit"
    DRAIN = "drain"
    CLIENT_GONE = "attempt-after-client-left"
    FORWARDED_DEADLINE = "deadline-told"
    """A server was given more time than was left to the client, or no valid time."""

    WRONG_BODY = "wrong-body"
    RETRY_AFTER = "retry-after"
    SLOW_START = "slow-start"
    STARVED = "starved"
    """A node answered nothing but failures for seconds, with servers there, and sent no attempt."""

    CRASH = "crash"
    EXIT_CODE = "exit-code"
    READINESS = "readiness"
    BAD_CLIENT = "bad-client"
    DESCRIPTORS = "descriptors"
    MEMORY = "memory"
    INTERNAL = "internal-fault"
    LOCAL_FAILURE_ATTRIBUTED = "charged-for-local-failure"
    """A server was ejected for connects that failed on the node's own machine."""

    COUNTERS = "counters"
    """A node's own counts and the history disagree."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken invariant and what shows it."""

    rule: Rule
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule.value}: {self.subject}: {self.detail}"
