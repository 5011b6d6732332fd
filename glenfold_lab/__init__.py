"""The lab: a model of the fleet in virtual time, stand-ins on sockets, load, experiments and reports."""
