"""Push servers: what stands there, the work that piles up, and how they live and end."""
