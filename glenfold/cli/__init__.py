"""The command line. Each command has a module of its own, which is imported only when it is called."""
