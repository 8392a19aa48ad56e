"""The invariants, as functions of the recorded history: what no node may do, whatever happens around it.

Times that a rule names are longer by 50 ms on sockets; PAUSE_ALLOWANCE_S is added where a node may have been
held up between reading its clock and writing.
"""

from __future__ import annotations

import itertools
import re
import signal
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from fault_soak.history import (
    AttemptDone,
    AttemptReceived,
    AttemptResult,
    ClientLeft,
    EndpointNotified,
    FaultBegan,
    FaultEnded,
    IncompleteRequestReleased,
    IncompleteRequestStopped,
    Lifecycle,
    NodeExited,
    NodeLogged,
    NodeMeasured,
    NodeReady,
    NodeSignalled,
    NodeStarted,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    ServerStarted,
)
from fault_soak.nodes import MEMORY_MB
from fault_soak.plan import SERVER_KINDS, FaultKind
from fault_soak.play import PlayResult
from fault_soak.servers import served_body

LifeEvent = TypeVar("LifeEvent", NodeStarted, NodeReady, NodeExited)

SOCKET_SLACK_S = 0.05
PAUSE_ALLOWANCE_S = 0.15
LATE_ALLOWANCE_S = 0.5
LEFT_ALLOWANCE_S = 0.1
DEADLINE_ALLOWANCE_S = 0.15
READY_WITHIN_S = 10.0
BAD_CLIENT_WITHIN_S = 3.0
TERM_ARRIVAL_S = 0.7
STARVED_S = 4.0
STARVED_REQUESTS = 15
REFUSALS = (429, 503)
CONNECT_EJECTION = re.compile(r"endpoint_ejected .*outcome=connect_failed")
WRITTEN_COUNT = re.compile(r"counters_reported .*\bwritten=(\d+)")
FAULT_LINES = re.compile(
    r"policy_failed|action_failed|request_failed|request_read_failed|response_deadline_missed|Traceback|invariant_"
)


class Rule(Enum):
    """What a violation breaks."""

    LOST = "lost"
    CLOSED_UNREAD = "closed-unread"
    """The same, where the node closed a new connection and forwarded nothing of the request."""

    DUPLICATE = "duplicate"
    REFUSED_AFTER_RUN = "refused-after-run"
    HEDGED = "hedged-where-forbidden"
    ATTEMPT_LIMIT = "attempt-limit"
    DRAIN = "drain"
    CLIENT_GONE = "attempt-after-client-left"
    DEADLINE_TOLD = "deadline-told"
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
    CHARGED = "charged-for-local-failure"
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


class Oracle:
    """Judges one history."""

    def __init__(self, result: PlayResult) -> None:
        self._result = result
        self._history = result.history
        self._settings = result.plan.settings
        self._classes = {p["name"]: p for p in self._settings["profiles"]}
        self._lag_s = min(result.worst_lag_s, 0.2)
        self._sent: dict[str, RequestSent] = {}
        for sent in self._history.of(RequestSent):
            self._sent[sent.request_id] = sent
        self._attempts: dict[str, list[AttemptReceived]] = defaultdict(list)
        for attempt in self._history.of(AttemptReceived):
            self._attempts[attempt.request_id].append(attempt)
        self._done = self._match_ends()
        self._node_at = {start.address: start.node for start in self._history.of(NodeStarted)}
        self._starts = _by_incarnation(self._history.of(NodeStarted))
        self._exits = _by_incarnation(self._history.of(NodeExited))
        self._pauses = self._pause_spans()

    def violations(self) -> list[Violation]:
        """All broken invariants, in the order of the rules."""
        checks: tuple[Callable[[], Iterator[Violation]], ...] = (
            self._check_answers,
            self._check_runs,
            self._check_refusals,
            self._check_concurrency,
            self._check_drains,
            self._check_departures,
            self._check_deadlines_told,
            self._check_responses,
            self._check_slow_start,
            self._check_service,
            self._check_lives,
            self._check_bad_clients,
            self._check_limits,
            self._check_logs,
            self._check_ejections,
            self._check_counters,
        )
        return [violation for check in checks for violation in check()]

    def _match_ends(self) -> dict[AttemptReceived, AttemptDone]:
        """The end of each attempt that has one; a connection carries one attempt after another."""
        ends: dict[tuple[int, str], list[AttemptDone]] = defaultdict(list)
        for done in self._history.of(AttemptDone):
            ends[done.connection, done.request_id].append(done)
        matched: dict[AttemptReceived, AttemptDone] = {}
        for attempt in self._history.of(AttemptReceived):
            waiting = ends[attempt.connection, attempt.request_id]
            if waiting:
                matched[attempt] = waiting.pop(0)
        return matched

    # Requests.

    def _has_run(self, attempt: AttemptReceived) -> bool:
        done = self._done.get(attempt)
        return done is None or done.result is not AttemptResult.REJECTED

    def _check_answers(self) -> Iterator[Violation]:
        """One final answer in time for each request that was taken."""
        answered = {response.request_id: response for response in self._history.of(ResponseReceived)}
        for response in answered.values():
            sent = self._sent[response.request_id]
            late_s = response.at - sent.at - sent.deadline_s
            if late_s > LATE_ALLOWANCE_S + self._lag_s:
                yield Violation(Rule.LOST, response.request_id, f"answered {late_s:.3f} s too late")
        for missing in self._history.of(ResponseMissing):
            if missing.request_id not in answered and not self._is_excused(missing):
                how = "its connection was closed" if missing.closed else "nothing came"
                sent = self._sent[missing.request_id]
                detail = f"{how} after {missing.at - sent.at:.3f} s of {sent.deadline_s:.3f} s"
                unread = missing.closed and not self._attempts[missing.request_id]
                yield Violation(
                    Rule.CLOSED_UNREAD if unread else Rule.LOST,
                    missing.request_id,
                    f"{sent.node} {sent.class_name}: {detail}",
                )

    def _is_excused(self, missing: ResponseMissing) -> bool:
        if missing.unread_allowed and not self._attempts[missing.request_id]:
            return True
        sent = self._sent[missing.request_id]
        if self._crowded(sent) and not self._attempts[missing.request_id]:
            return True
        return self._was_killed(sent) or (missing.closed and self._connection_failed(sent, missing.at))

    def _connection_failed(self, sent: RequestSent, at: float) -> bool:
        """Whether the node's machine took connections for dead in that time, those of clients among them."""
        spans = self._spans(FaultKind.SYSCALL_READ)
        return any(begin <= at and sent.at <= end for begin, end, node in spans if node == sent.node)

    def _crowded(self, sent: RequestSent) -> bool:
        """Whether idle clients filled the descriptors: a new connection may then be closed unread."""
        crowds = self._spans(FaultKind.CLIENTS_CROWD)
        return any(begin - 0.1 <= sent.at <= end + 1.0 for begin, end, node in crowds if node == sent.node)

    def _was_killed(self, sent: RequestSent) -> bool:
        """Whether the node died before the answer was due, by no decision of its own."""
        life = (sent.node, sent.incarnation)
        kills = self._signals(life, signal.SIGKILL)
        if not kills or kills[0] > sent.at + sent.deadline_s + LATE_ALLOWANCE_S:
            return False
        terms = self._signals(life, signal.SIGTERM)
        return not terms or sent.at <= terms[0] + TERM_ARRIVAL_S

    def _check_runs(self) -> Iterator[Violation]:
        """No run that the class forbids, over all nodes and incarnations."""
        limit = self._settings["policyLimits"]["tryLimit"]
        for request_id, attempts in self._attempts.items():
            sent = self._sent.get(request_id)
            if sent is None:
                yield Violation(Rule.WRONG_BODY, request_id, "no client sent this id")
                continue
            if len(attempts) > limit * (2 if sent.resent else 1):
                yield Violation(Rule.ATTEMPT_LIMIT, request_id, f"{len(attempts)} attempts of {limit}")
            runs = [attempt for attempt in attempts if self._has_run(attempt)]
            yield from self._check_repeats(request_id, self._classes[sent.class_name], runs)

    def _check_repeats(
        self, request_id: str, request_class: dict[str, object], runs: list[AttemptReceived]
    ) -> Iterator[Violation]:
        if request_class["effect"] == "safe" or len(runs) < 2:
            return
        servers = " ".join(f"{run.server}@{run.at:.3f}" for run in runs)
        if request_class["effect"] == "unsafe":
            yield Violation(Rule.DUPLICATE, request_id, f"an unsafe request ran at {servers}")
            return
        window_s = float(str(request_class["windowMs"])) / 1000.0
        for run in runs[1:]:
            after_s = run.at - runs[0].first_byte_at
            if after_s > window_s + SOCKET_SLACK_S + self._pause_allowance(run) + self._lag_s:
                detail = f"{after_s:.3f} s after the first, window {window_s:.3f} s: {servers}"
                yield Violation(Rule.DUPLICATE, request_id, detail)
            if not _same_group(str(request_class["group"]), runs[0].server, run.server):
                yield Violation(
                    Rule.DUPLICATE, request_id, f"outside the {request_class['group']}: {servers}"
                )

    def _check_refusals(self) -> Iterator[Violation]:
        """A refusal says that a further try is harmless."""
        limits = self._settings["policyLimits"]
        longest_s = limits["maxRetryAfterMs"] / 1000.0
        for response in self._history.of(ResponseReceived):
            if response.status not in REFUSALS:
                continue
            request_class = self._classes[self._sent[response.request_id].class_name]
            anywhere = request_class["effect"] == "safe" or request_class.get("group") == "all"
            ran = [a for a in self._attempts[response.request_id] if self._has_run(a)]
            if ran and not anywhere:
                yield Violation(Rule.REFUSED_AFTER_RUN, response.request_id, f"status {response.status}")
            told = response.retry_after_s
            if limits["retryAfter"] and told is None:
                yield Violation(Rule.RETRY_AFTER, response.request_id, "a refusal without Retry-After")
            if told is not None and not 0.0 < told <= max(longest_s, 0.5) + 0.001:
                yield Violation(Rule.RETRY_AFTER, response.request_id, f"Retry-After {told} of {longest_s}")

    def _check_concurrency(self) -> Iterator[Violation]:
        """No two attempts of a request at once where that is forbidden."""
        if self._settings["policyLimits"]["mayDuplicate"]:
            return
        for request_id, attempts in self._attempts.items():
            for earlier, later in zip(attempts, attempts[1:], strict=False):
                done = self._done.get(earlier)
                if done is None or done.at > later.first_byte_at + SOCKET_SLACK_S + self._lag_s:
                    yield Violation(Rule.HEDGED, request_id, f"{earlier.server} and {later.server}")

    def _check_drains(self) -> Iterator[Violation]:
        """Nothing new to a server past its grace."""
        grace_s = self._settings["guarantees"]["stopSendingWithinMs"] / 1000.0
        notified = self._notifications()
        for attempt in self._history.of(AttemptReceived):
            node = self._node_at.get(attempt.host, "")
            states = notified.get((node, attempt.server), [])
            for i, (generation, at, lifecycle) in enumerate(states):
                if lifecycle is Lifecycle.SERVING:
                    continue
                since = max(at, self._start_before(node, attempt.first_byte_at))
                after_s = attempt.first_byte_at - since
                replaced = any(
                    later is Lifecycle.SERVING and known_at <= attempt.at
                    for _, known_at, later in states[i + 1 :]
                )
                if after_s > grace_s + SOCKET_SLACK_S + self._lag_s and not replaced:
                    detail = f"{node} sent {after_s:.3f} s after generation {generation}, grace {grace_s} s"
                    yield Violation(Rule.DRAIN, f"{attempt.server} {attempt.request_id}", detail)
                    break

    def _notifications(self) -> dict[tuple[str, str], list[tuple[int, float, Lifecycle]]]:
        """For each node and server the generations that concern it, each with its earliest notification."""
        earliest: dict[tuple[str, str, int], EndpointNotified] = {}
        for event in self._history.of(EndpointNotified):
            key = (event.node, event.server, event.generation)
            if key not in earliest or event.at < earliest[key].at:
                earliest[key] = event
        table: dict[tuple[str, str], list[tuple[int, float, Lifecycle]]] = defaultdict(list)
        for (node, server, generation), event in sorted(earliest.items(), key=lambda item: item[0][2]):
            table[node, server].append((generation, event.at, event.lifecycle))
        return table

    def _start_before(self, node: str, at: float) -> float:
        """When the node's process that lived at a time was started: a new one counts as notified then."""
        starts = [start.at for start in self._starts.values() if start.node == node and start.at <= at]
        return max(starts, default=0.0)

    def _check_departures(self) -> Iterator[Violation]:
        """No attempt begins 0.1 s after its client has gone."""
        for left in self._history.of(ClientLeft):
            for attempt in self._attempts[left.request_id]:
                after_s = attempt.first_byte_at - left.at
                allowed_s = LEFT_ALLOWANCE_S + SOCKET_SLACK_S + self._pause_allowance(attempt) + self._lag_s
                if after_s > allowed_s:
                    yield Violation(
                        Rule.CLIENT_GONE, left.request_id, f"{after_s:.3f} s after, {attempt.server}"
                    )

    def _check_deadlines_told(self) -> Iterator[Violation]:
        """The time told to a server is at most what is left to the client, and is a time."""
        for request_id, attempts in self._attempts.items():
            sent = self._sent.get(request_id)
            for attempt in attempts if sent is not None else ():
                assert sent is not None
                told = attempt.deadline_told_s
                left_s = sent.at + sent.deadline_s - attempt.at
                if told is None or told <= 0.0:
                    yield Violation(Rule.DEADLINE_TOLD, request_id, f"told {told}, {left_s:.3f} s left")
                elif told > left_s + DEADLINE_ALLOWANCE_S + self._pause_allowance(attempt) + self._lag_s:
                    yield Violation(Rule.DEADLINE_TOLD, request_id, f"told {told:.3f} of {left_s:.3f} s")

    def _check_responses(self) -> Iterator[Violation]:
        """A response that serves a request is what a server made for it."""
        for response in self._history.of(ResponseReceived):
            if response.status == 200:
                servers = [attempt.server for attempt in self._attempts[response.request_id]]
                if response.body not in [served_body(server, response.request_id) for server in servers]:
                    yield Violation(Rule.WRONG_BODY, response.request_id, repr(response.body[:60]))

    def _check_slow_start(self) -> Iterator[Violation]:
        """The sum over all nodes stays under what a cold server survives."""
        terms = self._settings["guarantees"]
        warm_up_s, window_s = terms["coldMs"] / 1000.0, terms["overloadForMs"] / 1000.0
        plan = self._result.plan
        warm_rate = plan.server_slots / (plan.work_ms / 1000.0 * 1.2)
        for start in self._history.of(ServerStarted):
            if not start.cold:
                continue
            times = [
                a.at
                for a in self._history.of(AttemptReceived)
                if a.server == start.server and start.at <= a.at <= start.at + warm_up_s
            ]
            for i, begin in enumerate(times):
                count = sum(1 for at in times[i:] if at <= begin + window_s)
                risen = terms["startCapacity"] + (1 - terms["startCapacity"]) * (begin - start.at) / warm_up_s
                bound = terms["fallMultiple"] * risen * warm_rate * window_s
                if count > bound + (2 * bound**0.5 + 2 if bound >= 30 else 3 * bound**0.5 + 3):
                    yield Violation(
                        Rule.SLOW_START, start.server, f"{count} in {window_s} s, bound {bound:.1f}"
                    )
                    break

    def _check_service(self) -> Iterator[Violation]:
        """No node keeps from sending for seconds while servers are there."""
        answers = {r.request_id: r.status for r in self._history.of(ResponseReceived)}
        requests: dict[str, list[RequestSent]] = defaultdict(list)
        for sent in self._history.of(RequestSent):
            if sent.request_id in answers:
                requests[sent.node].append(sent)
        for node, sequence in requests.items():
            for run in self._runs_without_attempt(sequence):
                span_s = run[-1].at - run[0].at
                long = len(run) >= STARVED_REQUESTS and span_s >= STARVED_S
                if long and not self._servers_in_trouble(run[0].at, run[-1].at):
                    yield Violation(Rule.STARVED, node, f"{len(run)} requests in {span_s:.1f} s")

    def _runs_without_attempt(self, requests: list[RequestSent]) -> Iterator[list[RequestSent]]:
        """The longest pieces of a sequence of requests that no server has seen any of."""
        for seen, run in itertools.groupby(requests, lambda sent: bool(self._attempts[sent.request_id])):
            if not seen:
                yield list(run)

    def _servers_in_trouble(self, begin: float, end: float) -> bool:
        kinds = (*SERVER_KINDS, FaultKind.SYSCALL_CONNECT, FaultKind.SYSCALL_SOCKET, FaultKind.CLIENTS_CROWD)
        return any(since <= end and begin <= until + 2.0 for since, until, _ in self._spans(*kinds))

    # Nodes.

    def _check_lives(self) -> Iterator[Violation]:
        """No crash, exit code 0 after SIGTERM, ready in time."""
        ready = _by_incarnation(self._history.of(NodeReady))
        for life, start in self._starts.items():
            name = f"{life[0]}/{life[1]}"
            end = self._exits.get(life)
            terms, kills = self._signals(life, signal.SIGTERM), self._signals(life, signal.SIGKILL)
            if end is not None and not terms and not kills:
                yield Violation(
                    Rule.CRASH, name, f"exit code {end.code}, {end.at - start.at:.3f} s after its start"
                )
            ended_itself = end is not None and terms and (not kills or end.at < kills[0])
            if ended_itself and end is not None and end.code != 0 and life in ready:
                yield Violation(Rule.EXIT_CODE, name, f"exit code {end.code}")
            last = end.at if end is not None else start.at
            if life not in ready and last - start.at > READY_WITHIN_S:
                yield Violation(Rule.READINESS, name, "not ready")
            elif life in ready and ready[life].at - start.at > READY_WITHIN_S:
                yield Violation(Rule.READINESS, name, f"ready after {ready[life].at - start.at:.1f} s")

    def _check_bad_clients(self) -> Iterator[Violation]:
        """A client that stops within a request gets an error or a close in time."""
        released = {event.client: event.at for event in self._history.of(IncompleteRequestReleased)}
        for stopped in self._history.of(IncompleteRequestStopped):
            waited_s = released.get(stopped.client, stopped.at + 1e9) - stopped.at
            if waited_s > BAD_CLIENT_WITHIN_S + SOCKET_SLACK_S + self._lag_s:
                detail = "not released" if waited_s > 1e6 else f"released after {waited_s:.2f} s"
                yield Violation(Rule.BAD_CLIENT, f"{stopped.node} client {stopped.client}", detail)

    def _check_limits(self) -> Iterator[Violation]:
        """Descriptors and memory."""
        worst: dict[tuple[str, int], NodeMeasured] = {}
        for sample in self._history.of(NodeMeasured):
            if sample.memory_kb > MEMORY_MB * 1000:
                yield Violation(Rule.MEMORY, sample.node, f"{sample.memory_kb} kB")
            life = (sample.node, sample.incarnation)
            if life not in worst or sample.descriptors > worst[life].descriptors:
                worst[life] = sample
        for life, sample in worst.items():
            if sample.descriptors > self._result.plan.descriptors:
                yield Violation(Rule.DESCRIPTORS, f"{life[0]}/{life[1]}", f"{sample.descriptors} open")

    def _check_logs(self) -> Iterator[Violation]:
        """No node reports a fault of its own."""
        for logged in self._history.of(NodeLogged):
            if FAULT_LINES.search(logged.line):
                yield Violation(Rule.INTERNAL, f"{logged.node}/{logged.incarnation}", logged.line)

    def _check_ejections(self) -> Iterator[Violation]:
        """No server is ejected for what the node's own machine failed in."""
        local = self._spans(FaultKind.SYSCALL_CONNECT, FaultKind.SYSCALL_SOCKET)
        remote = self._spans(*SERVER_KINDS)
        for logged in self._history.of(NodeLogged):
            if CONNECT_EJECTION.search(logged.line) is None:
                continue
            during = any(b <= logged.at <= e + 0.1 for b, e, node in local if node == logged.node)
            excused = any(b <= logged.at <= e + 3.0 for b, e, _ in remote)
            if during and not excused:
                yield Violation(Rule.CHARGED, f"{logged.node}/{logged.incarnation}", logged.line)

    def _check_counters(self) -> Iterator[Violation]:
        """A node that ended by itself has counted every attempt that servers received from it."""
        for life, start in self._starts.items():
            end = self._exits.get(life)
            counted = [
                int(found[1])
                for logged in self._history.of(NodeLogged)
                if (logged.node, logged.incarnation) == life
                and (found := WRITTEN_COUNT.search(logged.line)) is not None
            ]
            if end is None or end.code != 0 or not counted:
                continue
            received = sum(
                1
                for attempt in self._history.of(AttemptReceived)
                if attempt.host == start.address and start.at <= attempt.at <= end.at
            )
            if received > counted[-1]:
                detail = f"{received} attempts received, {counted[-1]} counted"
                yield Violation(Rule.COUNTERS, f"{life[0]}/{life[1]}", detail)

    # What surrounds an event.

    def _signals(self, life: tuple[str, int], number: int) -> list[float]:
        signals = self._history.of(NodeSignalled)
        return [s.at for s in signals if (s.node, s.incarnation) == life and s.signal == number]

    def _spans(self, *kinds: FaultKind) -> list[tuple[float, float, str]]:
        names = {kind.value for kind in kinds}
        ends = {e.index: e.at for e in self._history.of(FaultEnded)}
        begun = [b for b in self._history.of(FaultBegan) if b.kind in names]
        return [(b.at, ends.get(b.index, float("inf")), b.target) for b in begun]

    def _pause_spans(self) -> list[tuple[float, float, str]]:
        return self._spans(FaultKind.NODE_PAUSE, FaultKind.WRITE_PAUSE)

    def _pause_allowance(self, attempt: AttemptReceived) -> float:
        node = self._node_at.get(attempt.host, "")
        paused = any(
            b <= attempt.at <= e + PAUSE_ALLOWANCE_S for b, e, target in self._pauses if target == node
        )
        return PAUSE_ALLOWANCE_S + 0.01 if paused else 0.0


def _same_group(group: str, first: str, other: str) -> bool:
    """Whether two servers share their memory of keys; cells are pairs of servers, zones alternate."""
    one, two = int(first[1:]), int(other[1:])
    if group == "zone":
        return one % 2 == two % 2
    return group == "all" or one // 2 == two // 2


def _by_incarnation(events: list[LifeEvent]) -> dict[tuple[str, int], LifeEvent]:
    return {(event.node, event.incarnation): event for event in events}
