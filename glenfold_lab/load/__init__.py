"""Open-loop load: clients by a plan drawn ahead, and latencies counted from the intended start."""
