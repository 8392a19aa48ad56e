"""Serves real traffic: connects the policy, which makes all decisions, to sockets.

The core consists of the modules in this folder.  Of these modules, each imports only modules that are above
it in this list:

- address, descriptors: network addresses and the division of the descriptor limit
- configuration_values, configuration_file, configuration: the configuration that a node starts with
- request_guard, request_table: the last check before an attempt is written, and the table of open requests
- policy_driver: passes events to the policy and its actions to an ActionHandler
- request_handler: handles a request from its acceptance until its single response
- attempts, endpoint_updates: sends the attempts of requests and applies changes of the endpoint list
- action_dispatcher: the ActionHandler of a node
- node: creates the parts and connects them

The docstring of each subpackage says which other parts of the proxy the subpackage may import.
"""
