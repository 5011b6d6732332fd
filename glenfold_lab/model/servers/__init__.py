"""Push servers: standing connections, backlog of work, and lifecycle."""
