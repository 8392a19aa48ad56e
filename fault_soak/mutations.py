"""Mutations of the load balancer, each of which breaks one guard of a node in a scratch copy of the source.

A guard is code of the node that keeps a rule of the oracle. The mutations are used to prove that the fault
test detects a broken guard.
"""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from fault_soak.faults import FaultKind
from fault_soak.oracle import Rule


@dataclass(frozen=True, slots=True)
class Edit:
    """A replacement of the source text ``old`` by ``new``; ``path`` is relative to the checkout."""

    path: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Mutation:
    """A change of the source that breaks a guard.

    Attributes:
        name: the name of the guard, as the option ``--guard`` selects it.
        rules: the rules that may be violated if the guard is broken; the fault test detects the broken guard
            if it finds a violation of one of these rules.
        edits: the replacements of source text that break the guard.
        kinds: the kinds of faults under which the guard has an effect.
    """

    name: str
    rules: frozenset[Rule]
    edits: tuple[Edit, ...]
    kinds: frozenset[FaultKind] = frozenset(FaultKind)


class MutationError(Exception):
    """The source text that a mutation replaces does not exist; the mutation must be adapted to the source."""


ATTEMPTS = "load_balancer/proxy/attempts.py"
REQUEST_HANDLER = "load_balancer/proxy/request_handler.py"
GRACEFUL_SHUTDOWN = "load_balancer/proxy/lifecycle/graceful_shutdown.py"
SELECTION = "load_balancer/policy/selection.py"
RETRIES = "load_balancer/policy/retries.py"
SLOW_START = "load_balancer/policy/slow_start.py"
DESCRIPTORS = "load_balancer/proxy/descriptors.py"
EVENTS = "load_balancer/events.py"

WITHOUT_LAST_CHECK = (
    Edit(
        ATTEMPTS,
        "rule = request.guard.check_write(endpoint, now_ms, to_listed_process=to_listed_process)",
        "rule = None",
    ),
    Edit(
        REQUEST_HANDLER, "request is not None and not request.guard.may_reject()", "request is None and True"
    ),
)
"""The edits that disable the node's last check before it writes an attempt or rejects a request.

This check backs up several guards. A mutation of one of these guards must disable the check as well, because
the check would hide the broken guard.
"""

MUTATIONS = (
    Mutation(
        "client may have left",
        frozenset({Rule.ATTEMPT_AFTER_CLIENT_LEFT}),
        (
            Edit(ATTEMPTS, "request is None or request.slot.client_has_left()", "request is None"),
            Edit(ATTEMPTS, "return not self._request.slot.client_has_left()", "return True"),
            Edit(REQUEST_HANDLER, "slot.on_abandoned = lambda: self._abandon(request_id)", "pass"),
        ),
        frozenset(
            {FaultKind.CLIENTS_LEAVE, FaultKind.SERVER_HANG, FaultKind.SERVER_ERRORS, FaultKind.LINK_SILENT}
        ),
    ),
    Mutation(
        "send after a drain",
        frozenset({Rule.DRAIN}),
        (
            Edit(
                "load_balancer/proxy/discovery/endpoint_listing.py",
                '"DRAINING": EndpointState.DRAINING',
                '"DRAINING": EndpointState.SERVING',
            ),
        ),
    ),
    Mutation(
        "repeat what must run once",
        frozenset({Rule.DUPLICATE}),
        (
            *WITHOUT_LAST_CHECK,
            Edit(
                SELECTION,
                "return request_class.idempotency is Idempotency.IDEMPOTENT",
                "return True",
            ),
        ),
    ),
    Mutation(
        "a reset counts as not run",
        frozenset({Rule.DUPLICATE, Rule.REJECTED_AFTER_RUN}),
        (
            *WITHOUT_LAST_CHECK,
            Edit(
                EVENTS, "Outcome.CONNECT_FAILED, Outcome.NOT_SENT}", "Outcome.CONNECT_FAILED, Outcome.RESET}"
            ),
        ),
    ),
    Mutation(
        "window not checked",
        frozenset({Rule.DUPLICATE}),
        (
            *WITHOUT_LAST_CHECK,
            Edit(SELECTION, "if latest >= first.sent_at", "if False and latest >= first.sent_at"),
        ),
        frozenset({FaultKind.SERVER_HANG, FaultKind.LINK_SILENT, FaultKind.LINK_RESET_RESPONSE}),
    ),
    Mutation(
        "times on the wall clock",
        frozenset({Rule.DUPLICATE, Rule.LOST, Rule.FORWARDED_DEADLINE, Rule.INTERNAL}),
        (
            *WITHOUT_LAST_CHECK,
            Edit(
                "load_balancer/proxy/event_loop/clock.py",
                "return 1000.0 * (self._offset_s + time.monotonic())",
                "return 1000.0 * time.time()",
            ),
        ),
    ),
    Mutation(
        "group of a key not checked",
        frozenset({Rule.DUPLICATE}),
        (
            *WITHOUT_LAST_CHECK,
            Edit(
                SELECTION,
                "if scope is DeduplicationScope.ZONE:\n",
                "if True:\n        return True\n    if True:\n",
            ),
        ),
    ),
    Mutation(
        "open requests left at SIGTERM",
        frozenset({Rule.LOST}),
        (Edit(GRACEFUL_SHUTDOWN, "if not self._downstream.is_busy() and now", "if now"),),
    ),
    Mutation(
        "hedge where forbidden",
        frozenset({Rule.HEDGED}),
        (
            *WITHOUT_LAST_CHECK,
            Edit(SELECTION, "if request.in_flight and not settings.hedging_allowed:", "if False:"),
            Edit("load_balancer/policy/balancer.py", "if not self.settings.hedging_allowed:", "if False:"),
        ),
        frozenset({FaultKind.SERVER_HANG, FaultKind.LINK_SILENT}),
    ),
    Mutation(
        "reject after a run",
        frozenset({Rule.REJECTED_AFTER_RUN}),
        (
            *WITHOUT_LAST_CHECK,
            Edit(
                RETRIES,
                "if not request.repeatable_anywhere() and request.first_possible_run() is not None:",
                "if False:",
            ),
        ),
    ),
    Mutation(
        "tell the whole deadline",
        frozenset({Rule.FORWARDED_DEADLINE}),
        (
            Edit(
                ATTEMPTS,
                'X-Deadline: %.3f\\r\\n\\r\\n%s" % (request.head, seconds_left, request.message.body)',
                'X-Deadline: %.3f\\r\\n\\r\\n%s" % (request.head, seconds_left + 0.4, request.message.body)',
            ),
        ),
    ),
    Mutation(
        "no Retry-After",
        frozenset({Rule.RETRY_AFTER}),
        (Edit(REQUEST_HANDLER, "after_s if after_s else b", "after_s if False else b"),),
    ),
    Mutation(
        "reuse with unread input",
        frozenset({Rule.WRONG_BODY}),
        (
            Edit(
                "load_balancer/proxy/upstream/endpoint_pool.py", "REUSE_DELAY_S = 0.02", "REUSE_DELAY_S = 0.0"
            ),
            Edit(
                "load_balancer/proxy/upstream/connection.py",
                "        if self._state is not _IN_FLIGHT:\n            self.abort()",
                "        if False:\n            self.abort()",
            ),
            Edit(
                "load_balancer/proxy/upstream/endpoint_pool.py", " and connection.has_no_unread_input()", ""
            ),
            Edit("load_balancer/proxy/upstream/connection.py", " and not has_surplus", ""),
        ),
        frozenset({FaultKind.SERVER_MALFORMED_RESPONSES, FaultKind.NODE_PAUSE}),
    ),
    Mutation(
        "attempts not limited",
        frozenset({Rule.ATTEMPT_LIMIT}),
        (
            *WITHOUT_LAST_CHECK,
            Edit(SELECTION, "and len(request.attempts) < context.settings.max_attempts", ""),
            Edit(RETRIES, "if len(request.attempts) >= settings.max_attempts:", "if False:"),
            Edit(RETRIES, "and len(request.attempts) < self._context.settings.max_attempts", ""),
        ),
    ),
    Mutation(
        "no slow start",
        frozenset({Rule.SLOW_START}),
        (
            Edit(
                "load_balancer/policy/slow_start.py",
                "return budget.tokens >= min(work, max_tokens)",
                "return True",
            ),
        ),
        frozenset({FaultKind.SERVER_CRASH, FaultKind.LOAD_BURST}),
    ),
    Mutation(
        "descriptors not divided",
        frozenset({Rule.DESCRIPTORS, Rule.LOST, Rule.CLOSED_UNREAD, Rule.INTERNAL}),
        (
            Edit(
                "load_balancer/proxy/descriptors.py",
                "RESERVED_DESCRIPTORS = 28",
                "RESERVED_DESCRIPTORS = -500",
            ),
        ),
        frozenset({FaultKind.CLIENTS_CONNECTION_BURST, FaultKind.WATCH_RESET}),
    ),
)


@contextmanager
def mutated_tree(root: Path, mutation: Mutation) -> Iterator[Path]:
    """Create a temporary copy of the checkout with one guard broken, and remove the copy at the end."""
    with tempfile.TemporaryDirectory(prefix="fault-soak-mutation-") as name:
        tree = Path(name)
        for part in ("load_balancer", "deploy"):
            shutil.copytree(root / part, tree / part, ignore=shutil.ignore_patterns("__pycache__"))
        (tree / ".venv").symlink_to(root / ".venv")
        for edit in mutation.edits:
            _apply(tree / edit.path, edit)
        yield tree


def _apply(path: Path, edit: Edit) -> None:
    text = path.read_text()
    if text.count(edit.old) < 1:
        raise MutationError(f"{edit.path} has no {edit.old!r}")
    path.write_text(text.replace(edit.old, edit.new))
