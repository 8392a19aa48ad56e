"""A randomized fault test: real nodes on loopback, between stubs that record what happens.

Nothing here imports the policy or the proxy: the invariants are functions of the recorded history alone.
"""
