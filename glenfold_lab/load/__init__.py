"""Open-loop load: clients start by a plan drawn in advance, and latencies count from the planned start."""
