"""What a fleet of a given size costs and what it can carry, worked out from the files of measured results."""
