"""The command python -m load_balancer: runs one node, configured by its environment."""

from __future__ import annotations

import gc
import os
import signal
import sys

import uvloop

from load_balancer.logging_setup import configure_logging
from load_balancer.proxy.configuration import NodeConfiguration, load_configuration
from load_balancer.proxy.configuration_values import ConfigurationError
from load_balancer.proxy.node import Node

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2

_HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


async def _serve(config: NodeConfiguration) -> None:
    node = Node(config)
    # The present objects exist as long as the node: exclude them from garbage collection.
    gc.freeze()
    await node.start()
    await node.wait()
    # The event loop restores the default signal handlers as it closes.  A signal after that would kill the
    # process before it exits with 0: signals are blocked and stay pending.
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)


def main() -> int:
    """Run one node.

    Returns:
        The exit code: 0 after SIGTERM or SIGINT, 2 for a bad configuration, with one line on standard error.
    """
    # The default handler would end the process.  ConfigurationReload.after_start() follows a signal that is
    # ignored here.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_logging()
    try:
        config = load_configuration(os.environ)
        uvloop.run(_serve(config))
        for number in _HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
    except ConfigurationError as error:
        print(f"load_balancer: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except OSError as error:
        print(f"load_balancer: NODE_LISTEN cannot be used: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
