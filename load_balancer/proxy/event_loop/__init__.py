"""Helpers on top of the event loop: timers, clock and polling.  Imports no other part of the proxy."""
