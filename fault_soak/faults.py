"""The kinds of faults, and the faults of a schedule."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """A kind of fault; the value is the name of the kind on the command line and in reports."""

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
    LIST_SPLIT = "list-pieces"
    SERVER_DRAIN = "server-drain"
    SERVER_CRASH = "server-crash"
    SERVER_HANG = "server-hang"
    SERVER_ERRORS = "server-errors"
    SERVER_MALFORMED_RESPONSES = "server-garble"
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
"""The kinds of faults whose target is a node or the agent of a node."""

SERVER_KINDS = frozenset(kind for kind in FaultKind if kind.value.startswith(("server-", "link-")))
"""The kinds of faults whose target is a server or the network in front of a server."""

SINGLE_NODE_CLIENT_KINDS = frozenset({FaultKind.CLIENTS_CONNECTION_BURST, FaultKind.CLIENTS_PIPELINE})
"""The kinds of faults in which clients misbehave towards one node, which is the target."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a schedule.

    Attributes:
        kind: the kind of the fault.
        begin_s: the beginning of the fault, in seconds since the start of the load.
        length_s: the length of the fault in seconds.
        target: the index of the node or server that the fault affects; unused if the kind of the fault has no
            single target.
    """

    kind: FaultKind
    begin_s: float
    length_s: float
    target: int

    def overlaps(self, other: Fault) -> bool:
        """Check whether the time spans of two faults overlap."""
        return self.begin_s < other.begin_s + other.length_s and other.begin_s < self.begin_s + self.length_s
