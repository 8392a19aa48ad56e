"""A randomized fault test that runs real nodes on loopback between stubs that record all events.

No module of this package imports the policy or the proxy of the load balancer, so that the invariants depend
on the recorded history alone.

``drawing`` draws a random ``plan`` from a seed, and ``scenario`` runs the plan. ``nodes`` starts the real
nodes. ``servers``, ``proxy``, ``discovery`` and ``clients`` are the stubs around the nodes, and ``injection``
makes nodes and stubs fail. All of them record events in one ``history``. The ``oracle`` checks the history,
and ``reporting`` creates and prints the report.

A guard is code of the node that keeps a rule of the oracle. ``proof`` breaks the guards that are listed in
``mutations``, one at a time, to prove that the oracle detects each broken guard.
"""
