"""The lab's command line: one module a command, each with a click command named `command`."""
