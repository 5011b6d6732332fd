"""Notifications to the service manager over NOTIFY_SOCKET, in the protocol of sd_notify(3).

The notifier is a background task of the instance. Failures of the manager's socket never delay the relay: a
datagram that can't be sent at once is dropped, and the first failure is logged.
"""

import os
import socket
import time
from collections.abc import Callable, MutableMapping

import trio

from glenfold import events
from glenfold.daemon.life import State
from glenfold.daemon.process import Process

VARIABLES = ("NOTIFY_SOCKET", "WATCHDOG_USEC", "WATCHDOG_PID")
SECOND_US = 1_000_000


class Channel:
    """Sends datagrams to the manager. `name` is a path, or `@` followed by an abstract socket name."""

    def __init__(self, name: str) -> None:
        self._address = "\0" + name[1:] if name.startswith("@") else name
        self._failed = False

    def send(self, *lines: str) -> None:
        """Sends one datagram; a failure is logged once until a datagram is sent again."""
        try:
            if not self._address.startswith(("/", "\0")):
                raise ValueError(f"{self._address!r} is neither a path nor an abstract name")
            with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock:
                sock.sendto("\n".join(lines).encode(), self._address)
            self._failed = False
        except (OSError, ValueError) as error:
            if not self._failed:
                events.notify_failed(error=error)
            self._failed = True


class Notifier:
    """Notifies the manager of one Process's state.

    `watchdog_s` is the interval within which the manager expects a sign that the event loop runs, or None.
    """

    def __init__(
        self,
        channel: Channel,
        watchdog_s: float | None = None,
        now_us: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    ) -> None:
        self._channel = channel
        self._watchdog_s = watchdog_s
        self._now_us = now_us
        self._sent_ready = False

    async def __call__(self, process: Process) -> None:
        process.life.watches.append(lambda before, now: self._on_life_change(process, now))
        async with trio.open_nursery() as nursery:
            if self._watchdog_s is not None:
                nursery.start_soon(self._feed_watchdog, self._watchdog_s / 2)
            # Until this process accepts clients, another one of the same name serves, and goes on if this one
            # fails.
            await process.accepts.wait()
            self._on_life_change(process, process.life.state)

    async def _feed_watchdog(self, every_s: float) -> None:
        """Sends from the event loop, so a loop that hangs sends nothing; missed signs are not made up for."""
        while True:
            self._channel.send("WATCHDOG=1")
            await trio.sleep_until(trio.current_time() + every_s)

    def _on_life_change(self, process: Process, now: State) -> None:
        if not process.accepts.is_set() or process.handed_over:  # The manager follows another process.
            return
        relay = process.relay
        status = f"STATUS={now.value}: {len(relay.standing)} standing, {relay.unanswered} unanswered"
        match now:
            case State.READY:
                self._sent_ready = True
                self._channel.send("READY=1", f"MAINPID={os.getpid()}", status)
            case State.RELOADING if self._sent_ready:
                self._channel.send("RELOADING=1", f"MONOTONIC_USEC={self._now_us()}", status)
            case State.DRAINING:
                self._channel.send("STOPPING=1", status)
            case _:
                self._channel.send(status)


def from_environment(environment: MutableMapping[str, str], own_id: int) -> Notifier | None:
    """Returns the notifier for the process `own_id`, or None if NOTIFY_SOCKET is not set.

    Removes the variables, so that no child process uses them.
    """
    name, watchdog, watched = (environment.pop(key, "") for key in VARIABLES)
    if not name:
        return None
    meant = not watched or watched == str(own_id)
    every_s = int(watchdog) / SECOND_US if meant and watchdog.isascii() and watchdog.isdecimal() else 0.0
    return Notifier(Channel(name), every_s or None)
