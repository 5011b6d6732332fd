"""Decision logic of the subsystems outside `linnetspread`.

The modules do no I/O, read no clock and hold no global state: times and random numbers are passed in.
"""
