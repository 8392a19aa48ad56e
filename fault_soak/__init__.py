"""A randomized fault test: real nodes on loopback, between stubs that record what happens.

Nothing here imports the policy or the proxy: the invariants are functions of the recorded history alone.

``drawing`` draws a ``plan`` from a seed, and ``scenario`` runs it. ``nodes`` starts the real nodes;
``servers``, ``proxy``, ``discovery`` and ``clients`` are the stubs around them, and ``injection`` has them
misbehave. All of them write one ``history``, which the ``oracle`` judges and ``reporting`` sums up. ``proof``
breaks the guards of ``mutations`` to prove that the oracle notices.
"""
