"""All modules of glenfold that use sockets."""
