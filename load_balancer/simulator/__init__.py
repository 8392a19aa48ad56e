"""The host of the policy on the simulator's wire."""
