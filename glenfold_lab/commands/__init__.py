"""The commands of `glenfold lab`. Each module defines one click command, named `command`."""
