"""Soak runs: real relays under faults drawn from a seed, checked by the rules of the platform."""
