"""What one placement costs the decisions, by the connections that they hold and by the size of a group."""

import math
import time
from collections.abc import Sequence

from glenfold_lab.scale.measurements import Point
from linnetspread import choice
from linnetspread import interface as i
from linnetspread.choice import mix

SERVERS = 1_024
GATEWAYS = 3_400
SPARSE_QUOTA = 1_000_000.0  # connections of the whole site: fewer than one of each server's at each gateway
DENSE_QUOTA = 210_000_000.0
GROUP = 77  # the one that is measured
MEMBERS = 1_000  # of it, where the connections are varied
HELD = 20_000  # connections, where the members are varied
WAIT_US = 20_000_000
NOW_US = 1_000_000  # of all events: nothing ages while it is measured
SAMPLES = 100
FIRST_SAMPLE = 1 << 40  # beyond the numbers of those held


def holding(held: int, members: int, quota: float) -> choice.Balancer:
    """Decisions that hold so many connections, `members` of them in one group and each other in its own."""
    tenant = i.Tenant(quota_connections=quota)
    balancer = choice.Balancer(i.Settings(gateways=GATEWAYS, tenants=(tenant,)), seed=1)
    servers = tuple(i.ListedServer(number, i.ServerState.READY) for number in range(1, SERVERS + 1))
    balancer.handle(NOW_US, i.ServerList(i.ListKind.FULL, 1, servers))
    for number in range(1, held + 1):
        group = GROUP if number <= members else mix(number)
        request = i.Request(number, WAIT_US, key=mix(number), group=group)
        balancer.handle(NOW_US, i.Existing(request, server=number % SERVERS + 1))
    return balancer


def placement_us(balancer: choice.Balancer, samples: int = SAMPLES) -> float:
    """Processor time of placing one more member of the group, which leaves again; the mean of so many."""
    spent_ns = 0
    for number in range(FIRST_SAMPLE, FIRST_SAMPLE + samples):
        request = i.Request(number, WAIT_US, key=mix(number), group=GROUP)
        began = time.thread_time_ns()
        actions = balancer.handle(NOW_US, request)
        spent_ns += time.thread_time_ns() - began
        attempt = next(action for action in actions if isinstance(action, i.Attempt))
        balancer.handle(NOW_US, i.ClientLeft(number))
        balancer.handle(NOW_US, i.Answer(number, 0, attempt.server, i.Outcome.CANCELLED, done=True))
    return spent_ns / samples / 1000


def placements_in_turn_us(balancers: Sequence[choice.Balancer], rounds: int) -> list[float]:
    """Returns the lowest processor time of a placement by each of `balancers`, in microseconds.

    They are measured in turn, so that what slows the machine for a while slows all of them; it can only add.
    """
    lowest_us = [math.inf] * len(balancers)
    for _ in range(rounds):
        for index, balancer in enumerate(balancers):
            lowest_us[index] = min(lowest_us[index], placement_us(balancer, 1))
    return lowest_us


def measure(sizes: Sequence[int], members: Sequence[int], repeats: int, held: int = HELD) -> list[Point]:
    """By connections held in a sparse fleet and in a dense one, and by members of the group in a sparse one.
    A group is never larger than what is held."""
    points: list[Point] = []
    for repeat in range(1, repeats + 1):
        for size in sizes:
            for quantity, quota in (
                ("decisions.placement.cpu", SPARSE_QUOTA),
                ("decisions.placement.dense.cpu", DENSE_QUOTA),
            ):
                cost = placement_us(holding(size, min(MEMBERS, size), quota))
                points.append(Point(quantity, "us", "connections", size, cost, repeat))
        for size in members:
            cost = placement_us(holding(max(held, size), size, SPARSE_QUOTA))
            points.append(Point("decisions.placement.group.cpu", "us", "members", size, cost, repeat))
    return points
