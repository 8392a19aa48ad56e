"""The simulator's wire protocol, and the adapter that runs policy instances behind it."""
