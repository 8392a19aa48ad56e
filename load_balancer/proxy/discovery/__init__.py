"""The source of the endpoint list: watches on discovery and the reading of what they bring.

Imports of the proxy: addresses and the event loop's helpers.
"""
