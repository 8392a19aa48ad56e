"""A node's signals, readiness, configuration reload and graceful shutdown.

Of the proxy, this package imports the configuration, the downstream server, discovery, the upstream pools and
the event loop's helpers.
"""
