"""Applies the address of discovery in the configuration file, after SIGHUP and right after the start."""

from __future__ import annotations

import logging

from load_balancer.proxy.configuration import NodeConfiguration, reload_discovery_address
from load_balancer.proxy.configuration_file import read_file_stamp
from load_balancer.proxy.configuration_values import ConfigurationError
from load_balancer.proxy.discovery.endpoint_discovery import EndpointDiscovery
from load_balancer.proxy.event_loop.timer_group import TimerGroup

log = logging.getLogger(__name__)

# Reading is retried because a file that is being written or temporarily cannot be opened becomes readable
# later, without a second signal.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 1.0
MAX_RETRIES = 12  # about 9 s in all


class ConfigurationReload:
    """Reads the configuration file again, with retries, and applies the address of discovery in it."""

    def __init__(self, config: NodeConfiguration, discovery: EndpointDiscovery) -> None:
        self._config = config
        self._discovery = discovery
        self._timers = TimerGroup()

    def after_start(self) -> None:
        """Apply a change of the file whose SIGHUP arrived before the node handled signals.

        Call this method after the signal handlers have been installed.

        The address in the environment was set when the process was started.  The file is assumed to be newer
        if its address differs from the address in the environment, or if the file has been replaced since
        the node read it.  In both cases the address in the file is applied.
        """
        config = self._config
        if read_file_stamp(config.path) != config.file_stamp:
            self.request()
        elif config.file_discovery is not None and config.file_discovery != config.discovery:
            log.info("environment_overridden discovery=%s:%d", *config.file_discovery)
            self._discovery.move(config.file_discovery)

    def request(self) -> None:
        """Read the file now, after SIGHUP, and cancel the retries for an earlier signal."""
        self._timers.cancel_all()
        self._read(0)

    def cancel(self) -> None:
        """Cancel the pending retries, because the node has stopped."""
        self._timers.cancel_all()

    def _read(self, retries: int) -> None:
        try:
            address = reload_discovery_address(self._config.path)
        except ConfigurationError as error:
            self._retry(retries, error)
            return
        log.info("configuration_reloaded discovery=%s:%d", *address)
        self._discovery.move(address)

    def _retry(self, retries: int, error: ConfigurationError) -> None:
        if retries == 0:
            log.error("configuration_reload_failed problem=%s", error)
        if retries == MAX_RETRIES:
            log.error("configuration_reload_abandoned retries=%d problem=%s", retries, error)
            return
        delay_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2.0**retries)
        self._timers.call_later(delay_s, self._read, retries + 1)
