"""The same verdict every time: hypothesis draws the same examples in every run of the same test."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, print_blob=False)
settings.load_profile("same")
