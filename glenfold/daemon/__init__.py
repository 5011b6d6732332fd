"""Runs one instance, and the supervisor of a fleet of instances on one machine."""
