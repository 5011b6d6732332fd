"""The entry point: the relay of the platform if there are no arguments, otherwise the command line."""

import gc
import os
import signal
import sys


def main() -> int:
    """Runs the relay of the platform if there are no arguments, otherwise the command line.

    Each of the two imports only the modules that it needs. Returns the exit status.
    """
    # SIGHUP and SIGUSR1 would end a process that has no handlers for them yet.
    if sys.argv[1:2] in ([], ["run"], ["replica"]):
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGUSR1))
    # A shell asks for completions without arguments.
    if len(sys.argv) > 1 or "_GLENFOLD_COMPLETE" in os.environ:
        try:
            from glenfold.cli.main import main as command_line
        except ModuleNotFoundError as error:
            sys.stderr.write(f"the command line needs the package {error.name}: pip install glenfold\n")
            return 2
        command_line(prog_name="glenfold")
    gc.disable()  # a start leaves next to no garbage; enabled again before the relay is ready
    from glenfold.daemon.platform import main as run_relay

    return run_relay()


def run() -> None:
    """The console script `glenfold`."""
    sys.exit(main())


if __name__ == "__main__":
    run()
