"""Many routers before servers that crash when the tokens they hold exceed their memory.

Runs on virtual time, with loads that are announced and summed as the processes do it.
Requests that find no server wait, and are refused after a while.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random

import xxhash

from hickoryweir.forwarding import server_memory
from hickoryweir.forwarding_policy import server_room

TICK_S = 0.1
# One way between a router and the leading replica, with stalls of the event loop.
DELAY_RANGE_S = (0.002, 0.06)
RETRY_S = 0.02
MAX_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Sizes of a deployment.

    Attributes
    ----------
    sizes : tuple of (int, float, float)
        Tokens of each kind of request, how many a second come at usual load, and how
        long they run.
    parts_count : int
        Shared parts; requests with the same one prefer the same servers.
    """

    routers_count: int = 88
    servers_count: int = 70
    capacity_tokens_count: int = 562_896
    sizes: tuple = ((17_140, 82.0, 2.5), (9_240, 86.0, 1.2), (1_640, 94.0, 2.0))
    parts_count: int = 60


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a run has shown.

    Attributes
    ----------
    peak_share : float
        Largest part of a server's memory that was held.
    crashes_count : int
        Servers that held more than their memory.
    refused_free_count : int
        Refused requests that would have fit at some server all the time.
    """

    peak_share: float = 0.0
    crashes_count: int = 0
    served_count: int = 0
    refused_count: int = 0
    refused_free_count: int = 0
    first_choices_count: int = 0


@functools.cache
def preference(part, servers_count):
    """Return the servers in the order in which requests with a part prefer them."""
    return tuple(
        sorted(
            range(servers_count),
            key=lambda server: xxhash.xxh64_intdigest(f"{part} {server}".encode()),
        )
    )


class Simulation:
    """Routers, servers and the leading replica."""

    def __init__(self, site, seed):
        self.site, self.outcome = site, Outcome()
        self.generator = random.Random(seed)
        self.now_s = 0.0
        self.events, self.numbers = [], itertools.count()
        servers, routers = range(site.servers_count), range(site.routers_count)
        self.names = [str(server) for server in servers]
        self.held = [0] * site.servers_count
        self.own = [collections.Counter() for _ in routers]
        self.recent = [collections.defaultdict(list) for _ in routers]
        self.memories = [[server_memory.Memory() for _ in servers] for _ in routers]
        self.reported = {}
        self.departed = []
        self.epochs = [0 for _ in routers]
        self.sizes = [server_room.Sizes() for _ in routers]
        self.no_sums_until_s = -math.inf

    def at(self, time_s, call, *arguments):
        """Call a function at a time."""
        event = (max(self.now_s, time_s), next(self.numbers), call, arguments)
        heapq.heappush(self.events, event)

    def run(self, until_s):
        """Run until a time."""
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        self.now_s = until_s

    def start(self):
        """Begin to announce and to sum loads."""
        for router in range(self.site.routers_count):
            self.at(self.generator.uniform(0.0, TICK_S), self._announce, router)
        self.at(0.0, self._sum)

    def _delay_s(self):
        return self.generator.uniform(*DELAY_RANGE_S)

    def _announce(self, router):
        loads = dict(self.own[router])
        for server, memory in enumerate(self.memories[router]):
            server_memory.record_announced(memory, loads.get(server, 0), self.now_s)
        epoch = self.epochs[router]
        self.at(self.now_s + self._delay_s(), self._report, router, epoch, loads)
        self.at(self.now_s + TICK_S, self._announce, router)

    def _report(self, router, epoch, loads):
        if epoch == self.epochs[router]:
            self.reported[router] = loads

    def _sum(self):
        total = collections.Counter()
        self.departed = [item for item in self.departed if item[0] > self.now_s]
        for loads in [*self.reported.values(), *(item[1] for item in self.departed)]:
            total.update(loads)
        is_complete = len(self.reported) == self.site.routers_count
        is_complete &= self.now_s >= self.no_sums_until_s
        for router in range(self.site.routers_count):
            if is_complete:
                self.at(self.now_s + self._delay_s(), self._receive, router, total)
        self.at(self.now_s + TICK_S, self._sum)

    def _receive(self, router, total):
        for server, memory in enumerate(self.memories[router]):
            server_memory.record_sum(memory, total[server], self.now_s)

    def stop_sums(self, for_s):
        """Keep the leading replica from telling sums for a while."""
        self.no_sums_until_s = self.now_s + for_s

    def restart(self, routers):
        """Restart routers: they forget all, and their requests run on for a while."""
        until_s = self.now_s + server_room.DEPARTED_S
        for router in routers:
            self.epochs[router] += 1
            self.departed.append((until_s, self.reported.pop(router, {})))
            self.own[router] = collections.Counter()
            self.recent[router].clear()
            self.memories[router] = [
                server_memory.Memory() for _ in range(self.site.servers_count)
            ]

    def send_load(self, rate, from_s, to_s, parts_count=None):
        """Send requests at a multiple of the usual rates."""
        for kind, (_, per_s, _) in enumerate(self.site.sizes):
            time_s = from_s
            while True:
                time_s += self.generator.expovariate(rate * per_s)
                if time_s >= to_s:
                    break
                router = self.generator.randrange(self.site.routers_count)
                part = self.generator.randrange(parts_count or self.site.parts_count)
                self.at(time_s, self._arrive, router, kind, part, time_s, True)

    def _known(self, router, server):
        memory, own = self.memories[router][server], self.own[router][server]
        recent = self.recent[router][server]
        unseen_count = 0
        if recent:
            unseen_from_s = server_room.unseen_from_s(self.now_s, memory.summed_at_s)
            while recent and recent[0][0] <= unseen_from_s:
                recent.pop(0)
            unseen_count = min(own, sum(count for _, count in recent))
        return server_room.Known(
            self.site.capacity_tokens_count,
            own,
            unseen_count,
            memory.others_tokens_count,
            self.now_s - memory.summed_at_s,
        )

    def _arrive(self, router, kind, part, came_at_s, was_free):
        size, _, runs_s = self.site.sizes[kind]
        if came_at_s == self.now_s:
            self.sizes[router] = server_room.learn_sizes(self.sizes[router], size)
        turns = server_room.Turns(
            self.site.routers_count, router, "", self.now_s, self.sizes[router]
        )
        for place, server in enumerate(preference(part, self.site.servers_count)):
            known = self._known(router, server)
            if server_room.has_room(known, size, turns, self.names[server]):
                self.outcome.first_choices_count += place < 2
                self._send(router, server, size, runs_s)
                return
        usable = (1.0 - server_room.MARGIN_SHARE) * self.site.capacity_tokens_count
        is_free = was_free and min(self.held) + size <= usable
        if self.now_s - came_at_s < MAX_WAIT_S:
            again_s = self.now_s + RETRY_S
            self.at(again_s, self._arrive, router, kind, part, came_at_s, is_free)
        else:
            self.outcome.refused_count += 1
            self.outcome.refused_free_count += is_free

    def _send(self, router, server, size, runs_s):
        self.outcome.served_count += 1
        self.own[router][server] += size
        self.recent[router][server].append((self.now_s, size))
        self.held[server] += size
        share = self.held[server] / self.site.capacity_tokens_count
        self.outcome.crashes_count += share > 1.0
        self.outcome.peak_share = max(self.outcome.peak_share, share)
        ends_s = self.now_s + self.generator.uniform(0.7, 1.3) * runs_s
        self.at(ends_s, self._end, router, self.epochs[router], server, size)

    def _end(self, router, epoch, server, size):
        self.held[server] -= size
        if epoch == self.epochs[router]:
            self.own[router][server] -= size
