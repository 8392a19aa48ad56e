"""The simulator's wire and the adapter that hosts policy instances on it."""
