"""What subsystems decide beside `linnetspread`: no I/O, no clock, no state of the program's own."""
