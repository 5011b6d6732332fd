"""Experiments: plays combinations of scenarios, factors, seeds and revisions over many processes."""
