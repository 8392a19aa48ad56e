"""Helpers on top of the event loop: timers, clock, polling.  Imports nothing else of the proxy."""
