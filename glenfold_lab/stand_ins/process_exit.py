"""Waits for the exit of a process without polling and without blocking the event loop."""

import os

import trio


async def wait_for_exit(process_id: int) -> None:
    """Returns once the process has exited, whose connections and listeners are closed by then.

    The process may be any of this user's, not only a child. Returns at once if there is none of this id.
    """
    try:
        descriptor = os.pidfd_open(process_id)
    except ProcessLookupError:
        return
    try:
        await trio.lowlevel.wait_readable(descriptor)
    finally:
        os.close(descriptor)
