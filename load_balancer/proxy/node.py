"""Implements a node that serves real traffic: creates, connects, starts and stops the parts of the node."""

from __future__ import annotations

import asyncio
import logging

from load_balancer.events import Event
from load_balancer.policy.balancer import Balancer
from load_balancer.proxy.action_dispatcher import ActionDispatcher
from load_balancer.proxy.attempts import AttemptSender
from load_balancer.proxy.configuration import NodeConfiguration
from load_balancer.proxy.descriptors import divide_descriptors
from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.downstream.request_parsing import RequestParser
from load_balancer.proxy.downstream.server import DownstreamServer
from load_balancer.proxy.endpoint_updates import EndpointUpdates
from load_balancer.proxy.event_loop.clock import Clock
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.executed_ids import ExecutedIds
from load_balancer.proxy.lifecycle.configuration_reload import ConfigurationReload
from load_balancer.proxy.lifecycle.graceful_shutdown import GracefulShutdown
from load_balancer.proxy.lifecycle.readiness import Readiness
from load_balancer.proxy.lifecycle.shutdown_deadline import ShutdownDeadline
from load_balancer.proxy.lifecycle.signals import handle_signals
from load_balancer.proxy.observability.counters import CounterReport, NodeCounters
from load_balancer.proxy.observability.rule_monitor import RuleMonitor
from load_balancer.proxy.policy_driver import Policy, PolicyDriver
from load_balancer.proxy.request_handler import RequestHandler
from load_balancer.proxy.request_table import RequestTable
from load_balancer.proxy.upstream.health_checks import HealthChecker
from load_balancer.proxy.upstream.pools import UpstreamPools

log = logging.getLogger(__name__)

# The timeout of a poll, as a fraction of the time between polls of the endpoint list, so that a poll without
# a response fails before the next poll starts.
POLL_TIMEOUT_FRACTION = 0.4
# The fraction of the memory limit that clients may make the node hold: open and incomplete requests, and
# responses that are not read.  The rest is for the program, the endpoint list and the buffers of endpoints.
CLIENT_MEMORY_FRACTION = 0.25
# The fraction of the memory limit that the ids of requests which must not run again may take.
EXECUTED_IDS_MEMORY_FRACTION = 0.02


class Node:
    """A node that serves real traffic."""

    def __init__(self, config: NodeConfiguration, policy: Policy | None = None) -> None:
        """Create and connect the parts of the node.

        Args:
            config: the configuration of the node.
            policy: makes the decisions; a Balancer if it is None.
        """
        settings = config.settings
        self._config = config
        policy = Balancer(settings, config.seed) if policy is None else policy
        clock = Clock()
        host = b"%s:%d" % (config.listen[0].encode(), config.listen[1])
        shares = divide_descriptors(config.limits.sockets)
        shutdown_deadline = ShutdownDeadline(max(c.deadline_ms for c in settings.classes) / 1000.0)
        self._iterations = LoopIterations()
        self._driver = PolicyDriver(policy, clock, self._iterations)
        memory_bytes = 1_000_000 * config.limits.memory_mb
        self._table = RequestTable(ExecutedIds(int(EXECUTED_IDS_MEMORY_FRACTION * memory_bytes)))
        self._counters = NodeCounters()
        self._rules = RuleMonitor()
        self._counter_report = CounterReport(self._counters, self._rules)
        self._stopped = asyncio.Event()
        self._pools = UpstreamPools(
            connect_timeout_s=settings.connect_timeout_ms / 1000.0,
            endpoint_idle_s=config.connection_idle_ms / 1000.0,
            max_open=shares.upstream,
        )
        self._endpoint_updates = EndpointUpdates(self._pools, self._driver)
        self._discovery = self._create_discovery()
        self._reload = ConfigurationReload(config, self._discovery)
        requests = self._create_request_handler(clock, host, shutdown_deadline)
        self._connect_driver(requests, clock, host)
        self._downstream = self._create_downstream(requests, shares.downstream)
        self._shutdown = GracefulShutdown(
            self._downstream,
            shutdown_deadline,
            fail_open_requests=requests.fail_open_requests,
            stop=self.stop,
        )

    def _create_discovery(self) -> EndpointDiscovery:
        settings = self._config.settings
        return EndpointDiscovery(
            self._config.discovery,
            self._config.listing_reader,
            pushed=not settings.poll_endpoint_list,
            poll_timeout_s=POLL_TIMEOUT_FRACTION * settings.max_poll_interval_ms / 1000.0,
            drain_grace_s=settings.drain_grace_ms / 1000.0,
            on_listing=self._endpoint_updates.apply,
            on_failure=self._endpoint_updates.report_failure,
        )

    def _create_request_handler(
        self, clock: Clock, host: bytes, shutdown_deadline: ShutdownDeadline
    ) -> RequestHandler:
        return RequestHandler(
            self._config.settings,
            host,
            self._table,
            self._driver,
            clock,
            self._counters,
            self._rules,
            shutdown_deadline,
        )

    def _connect_driver(self, requests: RequestHandler, clock: Clock, host: bytes) -> None:
        """Create the parts that carry out the policy's actions, and connect them to the driver."""
        attempts = AttemptSender(
            self._table, requests, self._pools, self._driver, clock, self._counters, self._rules
        )
        health_checker = HealthChecker(self._pools, clock, host, self._driver.handle_event)
        self._driver.connect(
            ActionDispatcher(
                self._driver, self._table, requests, attempts, self._pools, health_checker, self._discovery
            )
        )

    def _create_downstream(self, requests: RequestHandler, max_connections: int) -> DownstreamServer:
        settings = self._config.settings
        lists_are_pushed = not settings.poll_endpoint_list
        readiness = Readiness(self._pools, self._discovery, lists_are_pushed=lists_are_pushed)
        return DownstreamServer(
            RequestParser(settings),
            requests.accept,
            readiness.is_ready,
            self._iterations,
            self._counters,
            self._rules,
            max_connections=max_connections,
            max_memory_bytes=int(CLIENT_MEMORY_FRACTION * self._config.limits.memory_mb * 1_000_000),
        )

    # Access to the parts of the node.

    @property
    def config(self) -> NodeConfiguration:
        """The configuration that the node was started with."""
        return self._config

    @property
    def policy(self) -> Policy:
        """The policy, which makes the decisions."""
        return self._driver.policy

    @property
    def requests(self) -> RequestTable:
        """The open requests and the attempts in flight."""
        return self._table

    @property
    def downstream(self) -> DownstreamServer:
        """The listening socket and the clients' connections."""
        return self._downstream

    @property
    def discovery(self) -> EndpointDiscovery:
        """The source of the endpoint list."""
        return self._discovery

    @property
    def shutdown(self) -> GracefulShutdown:
        """The graceful shutdown, which stops the node after SIGTERM."""
        return self._shutdown

    @property
    def counters(self) -> NodeCounters:
        """The counters of what the node has done since its start."""
        return self._counters

    @property
    def rules(self) -> RuleMonitor:
        """The record of rule violations."""
        return self._rules

    # Lifecycle.

    async def start(self) -> tuple[str, int]:
        """Start all parts of the node and listen for clients.

        Returns:
            The host and the port at which the node listens.

        Raises:
            OSError: the node cannot listen at the configured address.
        """
        handle_signals(self.terminate, self.reload)
        cached = self._config.cached_listing
        if cached is not None:
            self._endpoint_updates.apply_cached(cached)
        self._discovery.start(cached.version if cached is not None else 0)
        self._reload.after_start()
        self._counter_report.start()
        host, port = self._downstream.listen(self._config.listen)
        log.info("node_started name=%s address=%s:%d", self._config.name, host, port)
        return host, port

    async def wait(self) -> None:
        """Serve until the node has stopped."""
        await self._stopped.wait()

    def terminate(self) -> None:
        """Begin the graceful shutdown, after SIGTERM or SIGINT; do nothing if it has already begun."""
        if self._shutdown.in_progress:
            return
        log.info("shutdown_started open_requests=%d", len(self._table))
        self._shutdown.begin()

    def reload(self) -> None:
        """Read the configuration file again, after SIGHUP."""
        self._reload.request()

    def stop(self) -> None:
        """Stop at once, even if requests are open.

        Input that becomes available in the current event-loop iteration is not read any more.
        """
        self._shutdown.cancel()
        self._driver.cancel_timers()
        self._reload.cancel()
        self._discovery.close()
        self._endpoint_updates.cancel()
        self._downstream.close()
        self._pools.close()
        self._counter_report.stop()
        self._stopped.set()

    def handle_event(self, event: Event) -> None:
        """Pass an event to the policy and carry out the resulting actions."""
        self._driver.handle_event(event)
