"""The world in virtual time: discrete events, and one seed for one history."""
