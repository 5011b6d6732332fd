"""The command line: one module a command, each imported only when it is called."""
