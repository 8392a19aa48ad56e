"""Passes each action of the policy to the part of the node that carries it out."""

from __future__ import annotations

import logging

from load_balancer.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    LogEvent,
    PollEndpointList,
    RejectRequest,
    SendAttempt,
    SetTimer,
)
from load_balancer.events import RequestId
from load_balancer.proxy.attempts import AttemptSender
from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.policy_driver import PolicyDriver
from load_balancer.proxy.request_handler import RequestHandler
from load_balancer.proxy.request_table import RequestTable
from load_balancer.proxy.upstream.health_checks import HealthChecker
from load_balancer.proxy.upstream.pools import UpstreamPools

log = logging.getLogger(__name__)


class ActionDispatcher:
    """The ActionHandler of a node."""

    def __init__(
        self,
        driver: PolicyDriver,
        table: RequestTable,
        requests: RequestHandler,
        attempts: AttemptSender,
        pools: UpstreamPools,
        health_checker: HealthChecker,
        discovery: EndpointDiscovery,
    ) -> None:
        self._driver = driver
        self._table = table
        self._requests = requests
        self._attempts = attempts
        self._pools = pools
        self._health_checker = health_checker
        self._discovery = discovery

    def handle_action(self, action: Action) -> None:
        """Carry out one action."""
        match action:
            case SendAttempt():
                self._attempts.send(action)
            case SetTimer():
                self._driver.set_timer(action)
            case RejectRequest():
                self._requests.reject(action)
            case FailRequest():
                self._requests.fail(action)
            case CancelAttempt():
                self._attempts.cancel(action)
            case CheckHealth(endpoint_id):
                self._health_checker.check(endpoint_id)
            case CloseIdleConnections(endpoint_id):
                self._pools.close_idle(endpoint_id)
            case PollEndpointList():
                self._discovery.subscribe()
            case LogEvent():
                log.info("%s", action)

    def fail_request(self, request_id: RequestId) -> None:
        """Answer a request with 500 because handling one of its events or actions raised an exception."""
        self._requests.respond_fault(request_id)

    def on_events_handled(self) -> None:
        """Forget the finished requests, because the policy has been told by now that they have ended."""
        self._table.forget_finished()
