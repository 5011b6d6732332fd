"""What subsystems decide, without I/O, clock or randomness of their own."""
