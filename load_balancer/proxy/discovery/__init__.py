"""The source of the endpoint list: watches on discovery, and the parsing of the lists that they receive.

From the rest of the proxy, this package imports only the addresses and the helpers for the event loop.
"""
