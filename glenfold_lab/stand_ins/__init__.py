"""Stand-ins on loopback sockets: push servers, discovery, the front and clients, round real relays."""
