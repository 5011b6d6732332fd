"""What a service manager is told over NOTIFY_SOCKET, as sd_notify(3) has it.

A companion of the instance. Whatever becomes of the manager's socket costs the relay nothing: datagrams that
can't be sent at once are dropped, which is logged once.
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
    """Datagrams to the manager. `name`: a path, or `@` and an abstract name."""

    def __init__(self, name: str) -> None:
        self._address = "\0" + name[1:] if name.startswith("@") else name
        self._failed = False

    def send(self, *lines: str) -> None:
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
    """Beside one Process. watchdog_s: how often the manager wants to hear that the event loop turns."""

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
            # Until then another process of its name serves, and goes on if this one fails.
            await process.accepts.wait()
            self._on_life_change(process, process.life.state)

    async def _feed_watchdog(self, every_s: float) -> None:
        """From the loop itself: one that hangs says nothing. A turn that comes late is not made up for."""
        while True:
            self._channel.send("WATCHDOG=1")
            await trio.sleep_until(trio.current_time() + every_s)

    def _on_life_change(self, process: Process, now: State) -> None:
        if not process.accepts.is_set() or process.handed_over:  # the manager follows another process
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
    """None if nobody wants to be told. The variables are taken away, as no child is to heed them."""
    name, watchdog, watched = (environment.pop(key, "") for key in VARIABLES)
    if not name:
        return None
    meant = not watched or watched == str(own_id)
    every_s = int(watchdog) / SECOND_US if meant and watchdog.isascii() and watchdog.isdecimal() else 0.0
    return Notifier(Channel(name), every_s or None)
