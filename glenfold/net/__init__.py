"""Everything of glenfold that touches a socket."""
