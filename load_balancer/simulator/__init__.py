"""Implements the simulator's wire protocol and the adapter that runs policy instances for the simulator."""
