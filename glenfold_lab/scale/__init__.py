"""Scale runs: what the parts of a fleet cost as it grows, measured on this machine and written to files."""
