"""A node's signals, readiness, configuration reload and graceful shutdown.

Imports of the proxy: configuration, the downstream server, discovery, the upstream pools and the event loop's
helpers.
"""
