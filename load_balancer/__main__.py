"""Implements the command python -m load_balancer, which runs one node.

Environment variables configure the node; NODE_CONFIG names its configuration file.
"""

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
    # The objects that exist now live as long as the node, so exclude them from garbage collection.
    gc.freeze()
    await node.start()
    await node.wait()
    # The event loop restores the default signal handlers when it closes.  A signal that arrives after that
    # would kill the process before it exits with 0, so block the signals: they stay pending.
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)


def main() -> int:
    """Run one node until it is stopped.

    Returns:
        The exit code: 0 after SIGTERM or SIGINT, or 2 if the configuration cannot be used.  In the
        latter case, one line on standard error describes the problem.
    """
    # The default action of SIGHUP would end the process.  If a SIGHUP arrives while it is
    # ignored, ConfigurationReload.after_start() later applies the change of the configuration file.
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
