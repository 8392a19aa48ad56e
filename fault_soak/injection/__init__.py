"""The injection of the faults of a schedule.

Most modules contain the injectors of the faults of one part of the environment. An injector is a coroutine
function that takes the environment and the fault. It runs from the beginning of the fault to its end and
returns the number of times that the fault took effect, or None if that cannot be counted.
"""
