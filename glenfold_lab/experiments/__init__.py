"""Experiments: scenarios, factors, seeds and revisions played against each other over many processes."""
