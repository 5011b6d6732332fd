"""The server list: what discovery finds out, and how and when each relay hears of it."""
