"""python -m load_balancer: one real node; its environment says where it listens and whom it serves."""

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
    # What exists now lives as long as the node: leave it out of every later collection.
    gc.freeze()
    await node.start()
    await node.wait()
    # The loop gives the signals back to their defaults as it closes, and one of these would end the process
    # before it has ended well: what comes from here on is left pending.
    signal.pthread_sigmask(signal.SIG_BLOCK, _HANDLED_SIGNALS)


def main() -> int:
    """Run one node.

    Returns 0 after SIGTERM, and 2 with one plain line on standard error for a bad configuration.
    """
    # The default would end the process.  What comes before the node handles it is made up for at its start.
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
