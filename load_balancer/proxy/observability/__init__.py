"""Observes a node: counters and the record of rule violations.

This package imports no other part of the proxy except the event loop's helpers.
"""
