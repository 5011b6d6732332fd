"""Settings of all tests: hypothesis draws the same examples in every run, so results are reproducible."""

from hypothesis import settings

pytest_plugins = ["known_red"]

settings.register_profile("same", derandomize=True, deadline=None, print_blob=False)
settings.load_profile("same")
