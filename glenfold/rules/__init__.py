"""What the parts around the core decide, without I/O, clock or global state."""
