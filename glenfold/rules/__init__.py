"""What is decided without I/O, clock or global state: time and random numbers come in."""
