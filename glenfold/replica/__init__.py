"""A control replica: follows discovery or other replicas, and serves the same lists and watches. Sockets
only; what it decides is in `glenfold.rules`."""
