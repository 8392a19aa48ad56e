"""The kinds of faults, and a fault of a schedule."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """What can go wrong in a scenario; the value is the name in reports."""

    NODE_TERM = "node-term"
    NODE_KILL = "node-kill"
    NODE_PAUSE = "node-pause"
    NODE_RESTART_RELOAD = "node-restart-reload"
    RELOAD_MOVE = "reload-move"
    RELOAD_PARTIAL = "reload-partial"
    LOG_STALL = "log-stall"
    LOG_CLOSED = "log-closed"
    DISCOVERY_DOWN = "discovery-down"
    WATCH_SILENT = "watch-silent"
    WATCH_RESET = "watch-reset"
    LIST_PIECES = "list-pieces"
    SERVER_DRAIN = "server-drain"
    SERVER_CRASH = "server-crash"
    SERVER_HANG = "server-hang"
    SERVER_ERRORS = "server-errors"
    SERVER_GARBLE = "server-garble"
    SERVER_IDLE_CLOSE = "server-idle-close"
    LINK_SILENT = "link-silent"
    LINK_RESET_REQUEST = "link-reset-request"
    LINK_RESET_RESPONSE = "link-reset-response"
    LINK_LATE = "link-late"
    CLIENTS_LEAVE = "clients-leave"
    CLIENTS_STOP = "clients-stop"
    CLIENTS_PIPELINE = "clients-pipeline"
    CLIENTS_GARBAGE = "clients-garbage"
    CLIENTS_SLOW = "clients-slow"
    CLIENTS_CONNECTION_BURST = "clients-crowd"
    LOAD_BURST = "load-burst"
    SYSCALL_ACCEPT = "syscall-accept"
    SYSCALL_CONNECT = "syscall-connect"
    SYSCALL_SOCKET = "syscall-socket"
    SYSCALL_OPEN = "syscall-open"
    SYSCALL_READ = "syscall-read"
    SYSCALL_SHORT = "syscall-short"
    SYSCALL_INTERRUPT = "syscall-interrupt"
    WRITE_PAUSE = "write-pause"
    CLOCK_STEP = "clock-step"


NODE_KINDS = frozenset(
    kind
    for kind in FaultKind
    if kind.value.startswith(("node-", "reload-", "log-", "watch-", "list-", "syscall-", "write-", "clock-"))
)
SERVER_KINDS = frozenset(kind for kind in FaultKind if kind.value.startswith(("server-", "link-")))
AIMED_CLIENT_KINDS = frozenset({FaultKind.CLIENTS_CONNECTION_BURST, FaultKind.CLIENTS_PIPELINE})
"""Faults of clients that are aimed at one node."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a schedule; target is the index of a node or server, times are seconds of the scenario."""

    kind: FaultKind
    begin_s: float
    length_s: float
    target: int

    def overlaps(self, other: Fault) -> bool:
        """Whether both are active at the same time for a while."""
        return self.begin_s < other.begin_s + other.length_s and other.begin_s < self.begin_s + self.length_s
