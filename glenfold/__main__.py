"""The platform's relay, which has no words; with words, the command line."""

import gc
import os
import signal
import sys


def main() -> int:
    """Without words the relay of the platform; all else is the command line's. Each loads only its own."""
    if sys.argv[1:2] in ([], ["run"], ["replica"]):  # they would end it while it does not heed them yet
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGUSR1))
    if len(sys.argv) > 1 or "_GLENFOLD_COMPLETE" in os.environ:  # a shell's completion asks without words
        try:
            from glenfold.cli.main import main as command_line
        except ModuleNotFoundError as error:
            sys.stderr.write(f"the command line needs the package {error.name}: pip install glenfold\n")
            return 2
        command_line(prog_name="glenfold")
    gc.disable()  # a start leaves next to no garbage; enabled again before it is ready
    from glenfold.daemon.platform import main as relay

    return relay()


def run() -> None:
    """The console script."""
    sys.exit(main())


if __name__ == "__main__":
    run()
