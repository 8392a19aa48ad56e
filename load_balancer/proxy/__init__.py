"""The real node: connects the policy to sockets and decides nothing itself.

The core consists of the modules in this folder.  Each imports only those above it:

- address, descriptors: network addresses and the shares of the descriptor limit
- configuration_values, configuration_file, configuration: the configuration at the start
- request_guard, request_table: the last check and the open requests
- policy_driver: hands events to the policy and its actions to an ActionHandler
- request_handler: a request from its acceptance to its one response
- attempts, endpoint_updates: the attempts of requests and the changes of the endpoint list
- action_dispatcher: the ActionHandler of a node
- node: composes the parts

The packages below it are named after what they connect to.  Each docstring says what the package may import.
"""
