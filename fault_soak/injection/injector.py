"""The injector of each kind of fault, and a function that injects a fault and records it in the history."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeAlias

from fault_soak.faults import NODE_KINDS, SERVER_KINDS, SINGLE_NODE_CLIENT_KINDS, Fault, FaultKind
from fault_soak.history import FaultBegan, FaultEnded, History
from fault_soak.injection import clients, discovery, links, nodes, reloads, servers, system_calls
from fault_soak.injection.environment import Environment
from fault_soak.proxy import LinkState
from fault_soak.servers import Misbehaviour
from fault_soak.shim import Failure

Injector: TypeAlias = Callable[[Environment, Fault], Awaitable[int | None]]

INJECTORS: dict[FaultKind, Injector] = {
    FaultKind.NODE_TERM: nodes.terminate,
    FaultKind.NODE_KILL: nodes.kill,
    FaultKind.NODE_PAUSE: nodes.pause,
    FaultKind.NODE_RESTART_RELOAD: reloads.restart_and_reload,
    FaultKind.RELOAD_MOVE: reloads.reload,
    FaultKind.RELOAD_PARTIAL: reloads.reload_partial,
    FaultKind.LOG_STALL: nodes.stall_log,
    FaultKind.LOG_CLOSED: nodes.close_log,
    FaultKind.DISCOVERY_DOWN: discovery.take_down,
    FaultKind.WATCH_SILENT: discovery.silence_watches,
    FaultKind.WATCH_RESET: discovery.reset_watches,
    FaultKind.LIST_SPLIT: discovery.split_lists,
    FaultKind.SERVER_DRAIN: servers.drain,
    FaultKind.SERVER_CRASH: servers.crash,
    FaultKind.SERVER_HANG: partial(servers.misbehave, Misbehaviour.HANG),
    FaultKind.SERVER_ERRORS: partial(servers.misbehave, Misbehaviour.ERRORS),
    FaultKind.SERVER_MALFORMED_RESPONSES: partial(servers.misbehave, Misbehaviour.MALFORMED),
    FaultKind.SERVER_IDLE_CLOSE: partial(servers.misbehave, Misbehaviour.IDLE_CLOSE),
    FaultKind.LINK_SILENT: partial(links.change_state, LinkState.SILENT),
    FaultKind.LINK_RESET_REQUEST: partial(links.change_state, LinkState.RESET_REQUEST),
    FaultKind.LINK_RESET_RESPONSE: partial(links.change_state, LinkState.RESET_RESPONSE),
    FaultKind.LINK_LATE: partial(links.change_state, LinkState.LATE),
    FaultKind.CLIENTS_LEAVE: clients.leave_early,
    FaultKind.CLIENTS_STOP: clients.stop_within_requests,
    FaultKind.CLIENTS_PIPELINE: clients.pipeline,
    FaultKind.CLIENTS_GARBAGE: clients.send_garbage,
    FaultKind.CLIENTS_SLOW: clients.write_slowly,
    FaultKind.CLIENTS_CONNECTION_BURST: clients.hold_idle_connections,
    FaultKind.LOAD_BURST: clients.double_load,
    FaultKind.SYSCALL_ACCEPT: partial(system_calls.fail, Failure.ACCEPT),
    FaultKind.SYSCALL_CONNECT: partial(system_calls.fail, Failure.CONNECT),
    FaultKind.SYSCALL_SOCKET: partial(system_calls.fail, Failure.SOCKET),
    FaultKind.SYSCALL_OPEN: partial(system_calls.fail, Failure.OPEN),
    FaultKind.SYSCALL_READ: partial(system_calls.fail, Failure.READ),
    FaultKind.SYSCALL_SHORT: partial(system_calls.fail, Failure.SHORT),
    FaultKind.SYSCALL_INTERRUPT: partial(system_calls.fail, Failure.INTERRUPT),
    FaultKind.WRITE_PAUSE: partial(system_calls.fail, Failure.PAUSE),
    FaultKind.CLOCK_STEP: partial(system_calls.fail, Failure.CLOCK),
}
"""The injector of every kind of fault."""


async def inject(environment: Environment, index: int, fault: Fault) -> None:
    """Inject one fault of the schedule and record its beginning and end; faults may run concurrently."""
    kind, target = fault.kind.value, _target_name(environment, fault)
    environment.history.add(FaultBegan(History.now(), index, kind, target))
    fired = await INJECTORS[fault.kind](environment, fault)
    environment.history.add(FaultEnded(History.now(), index, kind, target, fired))


def _target_name(environment: Environment, fault: Fault) -> str:
    if fault.kind in NODE_KINDS or fault.kind in SINGLE_NODE_CLIENT_KINDS:
        return environment.node_of(fault).name
    if fault.kind in SERVER_KINDS:
        return environment.server_of(fault).name
    return "all"
