"""Carries out the faults of a schedule: each module holds the injectors for one part of the environment.

An injector is a function of the environment and the fault. It runs from the beginning of the fault to its
end, and returns how often the fault took effect, or None where that cannot be counted.
"""
