"""Soak runs: real relays under faults that a seed draws, judged from outside by the rules of the platform."""
