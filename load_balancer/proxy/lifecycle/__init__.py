"""A node's signals, readiness, configuration reload and graceful shutdown.

This package imports only these parts of the proxy: the configuration, the downstream server, discovery, the
upstream pools and the event loop's helpers.
"""
