"""The server list: what discovery knows, and how and when each relay receives it."""
