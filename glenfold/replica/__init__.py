"""A control replica, which follows discovery or other replicas and serves the same lists and watches.

This package does the socket I/O only. The rules behind its decisions are in `glenfold.rules`.
"""
