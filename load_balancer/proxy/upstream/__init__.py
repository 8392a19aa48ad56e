"""Sends requests to endpoints, and manages the connections to them in pools.

From the rest of the proxy, this package imports only the addresses, the endpoint listing, the HTTP modules
and the helpers for the event loop.
"""
