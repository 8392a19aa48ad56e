"""Provides the endpoint list: opens watches on discovery and parses the lists that they receive.

From the rest of the proxy, this package imports only the addresses and the helpers for the event loop.
"""
