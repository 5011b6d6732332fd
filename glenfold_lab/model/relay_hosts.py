"""The hosts of the relays: processes crash, restart, shut down and stall; the front notices after a delay."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from glenfold_lab.model.clients import Clients
from glenfold_lab.model.draw import value
from glenfold_lab.model.front import Front
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.network import Network
from glenfold_lab.model.relays import Relay
from glenfold_lab.model.wire import Listing
from glenfold_lab.observe import Watcher
from glenfold_lab.spec import Range, Scenario
from glenfold_lab.streams import Streams
from linnetspread.choice import SEEDS, mix

FRONT_REMOVAL_S = (0.2, 0.4)  # New connections keep arriving for this time after SIGTERM.
KILL_DELAY_S = 0.3  # SIGKILL follows this time after the relay's own deadline for its exit.

MakeRelay = Callable[[int, int], Relay]  # Takes the relay's number and the seed of this process.


@dataclass(slots=True, eq=False)
class RelayHost:
    """The host of one relay.

    `relay` is None while its process does not run. `lives` counts the starts of the process. `leaving` is
    whether the process was sent SIGTERM. `lost_clients` are those whose packets reach a relay again when the
    front notices the end of the process.
    """

    relay: Relay | None = None
    lives: int = 0
    leaving: bool = False
    lost_clients: list[int] = field(default_factory=list)


class RelayHosts:
    """All hosts, by the number of their relay. `clients` has to be set before `start`."""

    clients: Clients

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        kernel: Kernel,
        network: Network,
        listing: Listing,
        watcher: Watcher,
        front: Front,
        make: MakeRelay,
    ) -> None:
        self._scenario = scenario
        self._kernel, self._network, self._listing, self._watcher = kernel, network, listing, watcher
        self._front, self._make = front, make
        self._hosts = [RelayHost() for _ in range(scenario.relays.count)]
        self._seeds = [streams.of("relays", "seed", number) for number in range(len(self._hosts))]
        self._waits = streams.of("relays", "waits")
        self._reshuffle = value(scenario.front.reshuffle, streams.of("front", "reshuffle"))
        self._changes = 0  # Changes of the set of relays that the front knows.
        network.on_change.append(self._zone_changed)

    def __len__(self) -> int:
        return len(self._hosts)

    def running(self, relay: int) -> Relay | None:
        return self._hosts[relay].relay

    def reachable(self, relay: int) -> bool:
        return not self._network.relay_cut(relay)

    def start(self) -> None:
        for number in range(len(self._hosts)):
            self._boot(number, 0)

    def _boot(self, number: int, lives: int) -> None:
        """Starts the process with its cached list; the process answers PING at once."""
        host = self._hosts[number]
        if host.lives != lives:
            return
        host.lives, host.leaving = lives + 1, False
        relay = host.relay = self._make(number, int(self._seeds[number].integers(1 << 63)))
        self._listing.relay_up(number, relay.receive_list)
        self._watcher.relay_up(self._kernel.now, number)
        # If the front has not noticed the restart, packets go to this relay as before.
        if self._front.admits(number):
            self._reach_relays(host)
        elif self.reachable(number):
            self._admit(number)

    # ---- how processes end ----

    def crash(self, number: int) -> None:
        """Kills the process at once; it restarts after a delay."""
        self._hosts[number].leaving = False
        self._end(number, self._hosts[number].lives)

    def restart(self, number: int) -> None:
        """Sends SIGTERM: the front is notified, and the process shuts down and restarts."""
        host = self._hosts[number]
        if host.relay is None or host.leaving:
            return
        host.leaving = True
        lives = host.lives
        self._kernel.after(self._draw_us(FRONT_REMOVAL_S), self._remove_from_front, number, lives)
        leave_at = host.relay.leave(lambda: self._end(number, lives))
        self._kernel.at(leave_at + round(KILL_DELAY_S * SECOND_US), self._end, number, lives)

    def _remove_from_front(self, number: int, lives: int) -> None:
        if self._hosts[number].lives == lives and self._front.admits(number):
            self._front.remove(number)
            self._set_changed(number)

    def _end(self, number: int, lives: int) -> None:
        host = self._hosts[number]
        relay = host.relay
        if relay is None or host.lives != lives:
            return
        host.relay = None
        self._watcher.relay_down(self._kernel.now, number)
        self._listing.relay_down(number)
        host.lost_clients += [
            exchange.client
            for exchange in relay.terminate()
            if self.clients.relay_lost(exchange, host.leaving)
        ]
        self._kernel.after(self._draw_us(self._scenario.relays.restart_s), self._boot, number, lives)
        if host.leaving:  # The front has been notified.
            self._front.remove(number)
            self._reach_relays(host)
        else:
            self._kernel.after(self._notice_us(), self._notice_end, number, lives)

    def stall(self, number: int, until: int) -> None:
        """Suspends the process until then; its machine still accepts connections."""
        relay = self._hosts[number].relay
        if relay is not None:
            relay.stall(until)

    def _notice_us(self) -> int:
        return self._draw_us(self._scenario.front.notice_s)

    def _draw_us(self, wanted: Range) -> int:
        return round(value(wanted, self._waits) * SECOND_US)

    # ---- what the front is notified of ----

    def _notice_end(self, number: int, lives: int) -> None:
        """Handles the front noticing the end of a process, unless a new one has started since."""
        host = self._hosts[number]
        if host.lives != lives or host.relay is not None:
            return
        self._front.remove(number)
        self._reach_relays(host)
        self._set_changed(number)

    def _reach_relays(self, host: RelayHost) -> None:
        lost_clients, host.lost_clients = host.lost_clients, []
        self.clients.reach_relays(lost_clients)

    def _admit(self, number: int) -> None:
        self._front.admit(number)
        self._set_changed(number)
        self._reach_relays(self._hosts[number])

    def _set_changed(self, number: int) -> None:
        """In pass-through mode, moves part of the connections of the zone's other relays to other relays."""
        self._changes += 1
        if not self._scenario.relays.pass_through or self._kernel.now == self._kernel.start:
            return
        zone, salt = self._network.zone_of(number), self._changes * SEEDS[0]
        for other, host in enumerate(self._hosts):
            if other == number or host.relay is None or self._network.zone_of(other) != zone:
                continue
            for exchange in host.relay.standing:
                if mix(exchange.event.key + salt) < self._reshuffle * (1 << 64):
                    self.clients.move_to_other_relay(exchange)

    # ---- zones that are cut off ----

    def _zone_changed(self, zone: int) -> None:
        for number in self._of_zone(zone):
            if self.reachable(number) and not self._front.admits(number) and self._is_ready(number):
                self._admit(number)
            elif not self.reachable(number) and self._front.admits(number):
                self._kernel.after(self._notice_us(), self._cut_noticed, number)

    def _is_ready(self, number: int) -> bool:
        return self._hosts[number].relay is not None and not self._hosts[number].leaving

    def _cut_noticed(self, number: int) -> None:
        """Handles the front noticing a cut-off relay, which runs on while its packets go elsewhere."""
        host = self._hosts[number]
        if self.reachable(number) or not self._front.admits(number):
            return
        self._front.remove(number)
        self._reach_relays(host)
        self._set_changed(number)
        if host.relay is not None:
            for exchange in host.relay.standing:
                self.clients.move_to_other_relay(exchange)

    def _of_zone(self, zone: int) -> Sequence[int]:
        return [number for number in range(len(self._hosts)) if self._network.zone_of(number) == zone]
