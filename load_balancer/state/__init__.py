"""The state of one node that the components of its policy share.  It contains no decisions."""
