"""The life of one instance, and of a fleet on one machine."""
