"""The state of one node that the parts of the policy share; decides nothing."""
