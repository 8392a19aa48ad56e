"""Observes a node: counters and the record of rule violations.

Imports the event loop's helpers of the proxy only.
"""
