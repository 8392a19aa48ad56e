"""Configure pytest and hypothesis for reproducible runs.

Hypothesis generates the same examples in every run and stores none in files.
"""

from hypothesis import settings

pytest_plugins = ["tests.known_red"]

settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
settings.load_profile("fixed")
