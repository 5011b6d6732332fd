"""The options of a fleet."""

import msgspec


class Options(msgspec.Struct, frozen=True):
    """The part of the operators' file that concerns the fleet. Durations are in seconds."""

    instances: tuple[str, ...]
    stagger_s: float = 0.0  # minimum interval between two starts in the whole fleet; 0: no limit
    backoff_s: float = 0.5  # delay between the first unrequested exit and the restart; doubles with each exit
    most_backoff_s: float = 30.0  # upper bound of the restart delay, before jitter
    jitter: float = 0.5  # a random share of the delay, up to this one, is added to the delay
    steady_s: float = 30.0  # an instance that was ready for this long restarts from backoff_s
    loop_ends: int = 5  # an instance that exits this often within loop_window_s is held
    loop_window_s: float = 120.0
    ready_within_s: float = 30.0  # a roll is stopped when an instance takes longer to become ready
    stop_within_s: float = 75.0  # SIGKILL follows SIGTERM after this time
    most_out: int = 1  # instances that a roll may take out of service at the same time
    window_s: float = 5.0  # length of the window over which service is measured
    settle_within_s: float = 60.0  # service has to recover within this time after readiness
    least_asked: int = 20  # with fewer requests in the window, service counts as unknown
    as_before: float = 0.01  # a share that is higher by no more than this counts as recovered
    suffers: float = 0.05  # a share that is higher by more than this stops a roll
    take_over: bool = False  # a roll starts successors that take over instead of stopping first
