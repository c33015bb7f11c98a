"""Routers, servers and equal requests on virtual time.

Servers fail a part of the requests and go on, or a request ends each server that runs
it.  Routers tell each other of losses and completions through the replicas, unless they
are cut off.
"""

import dataclasses
import heapq
import itertools
import random

import pytest

from hickoryweir.forwarding_policy import crash_counts, server_survival

REQUEST = 7
SERVERS_COUNT = 9
DURATION_S = 40.0
FAULTY_SHARE = 0.5
REPORT_DELAY_S = 0.05
HEALTH_CHECK_S = 0.005
CONNECT_S = 0.001
CONTACT_S = 3.0
MUTE_MIN_S, MUTE_MAX_S = 1.0, 4.0
PLAIN_S = (0.02, 0.2)
STREAM_S = (0.5, 2.0)
ATTEMPTS_COUNT = 2
HOLD_S = 0.5
HOLD_STEP_S = 0.02
CRASHES_COUNT = 3
ALLOWED_MORE_COUNT = 3
MAX_REFUSED_SHARE = 0.02
FOREVER_S = 3_600.0


@dataclasses.dataclass(eq=False)
class Server:
    """A server; `in_flight` holds its attempts."""

    name: str
    is_up: bool = True
    in_flight: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass(eq=False)
class Attempt:
    """An attempt of a request."""

    router: int
    server: Server
    left_count: int


class World:
    """Routers with counts of their own, servers, and equal requests."""

    def __init__(self, seed, routers_count, duration_s, **options):
        self.random = random.Random(seed)
        self.counts = [crash_counts.CrashCounts() for _ in range(routers_count)]
        self.servers = [Server(f"s{number}") for number in range(SERVERS_COUNT)]
        self.options = {
            "rate_per_s": 12.0,
            "fault": None,
            "run_s": PLAIN_S,
            "crash_after_s": None,
            "restart_s": 3.0,
            "is_cut_off": False,
        } | options
        self.duration_s, self.now_s = duration_s, 0.0
        self.sent = self.refused = 0
        self.reached_at_s, self.crashed_at_s = [], []
        self._queue, self._numbers = [], itertools.count()

    def after(self, delay_s, action, *arguments):
        """Schedule an action."""
        at = (self.now_s + delay_s, next(self._numbers), action, arguments)
        heapq.heappush(self._queue, at)

    def run(self):
        """Play the whole time."""
        self.after(0.0, self._arrive)
        while self._queue and self._queue[0][0] < self.duration_s:
            self.now_s, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        return self

    def _arrive(self):
        self.after(self.random.expovariate(self.options["rate_per_s"]), self._arrive)
        self.sent += 1
        router = self.random.randrange(len(self.counts))
        self._admit(router, self.now_s, ATTEMPTS_COUNT)

    def _admit(self, router, since_s, left_count):
        """Send, hold or refuse a request, as routers do."""
        counts = self.counts[router]
        if not crash_counts.is_blocked(counts, REQUEST, self.now_s):
            crash_counts.record_admission(counts, REQUEST, self.now_s)
            self._send(router, left_count)
            return
        is_undecided = crash_counts.is_undecided(counts, REQUEST)
        if is_undecided and self.now_s - since_s < HOLD_S:
            self.after(HOLD_STEP_S, self._admit, router, since_s, left_count)
        elif left_count == ATTEMPTS_COUNT:
            crash_counts.record_refusal(counts, REQUEST, self.now_s)
            self.refused += 1

    def _send(self, router, left_count):
        up = [server for server in self.servers if server.is_up]
        if not up:
            return
        server = self.random.choice(up)
        attempt = Attempt(router, server, left_count - 1)
        server.in_flight.add(attempt)
        self.reached_at_s.append(self.now_s)
        run_s = self.random.uniform(*self.options["run_s"])
        crash_after_s = self.options["crash_after_s"]
        if crash_after_s is not None:
            self.after(crash_after_s, self._crash, attempt)
        elif self.options["fault"] and self.random.random() < FAULTY_SHARE:
            self.after(self._fails_after_s(run_s), self._lose, attempt)
        else:
            self.after(run_s, self._complete, attempt)

    def _fails_after_s(self, run_s):
        fault = self.options["fault"]
        if fault == "mixed":
            fault = self.random.choice(["reset", "broken_off", "mute"])
        if fault == "mute":
            return self.random.uniform(MUTE_MIN_S, MUTE_MAX_S)
        return 0.001 if fault == "reset" else run_s * self.random.random()

    def _complete(self, attempt):
        if attempt not in attempt.server.in_flight:
            return
        attempt.server.in_flight.discard(attempt)
        counts = self.counts[attempt.router]
        cleared_count = crash_counts.clear(counts, REQUEST, self.now_s)
        if cleared_count >= 2 and not self.options["is_cut_off"]:
            self.after(REPORT_DELAY_S, self._clear_others, self.now_s)

    def _clear_others(self, completed_s):
        for counts in self.counts:
            crash_counts.clear(counts, REQUEST, completed_s)

    def _crash(self, attempt):
        server = attempt.server
        if attempt not in server.in_flight:
            return
        self.crashed_at_s.append(self.now_s)
        server.is_up = False
        for lost in sorted(server.in_flight, key=id):
            self._lose(lost)
        self.after(self.options["restart_s"], self._restart, server)

    def _restart(self, server):
        """Start another incarnation, which has an id of its own."""
        self.servers.remove(server)
        self.servers.append(Server(f"s{next(self._numbers)}"))

    def _lose(self, attempt):
        if attempt not in attempt.server.in_flight:
            return
        attempt.server.in_flight.discard(attempt)
        counts = self.counts[attempt.router]
        loss = crash_counts.record_unverified(
            counts, REQUEST, attempt.server.name, self.now_s
        )
        self.after(server_survival.CHECK_AFTER_S, self._check, attempt, loss, ())
        if attempt.left_count:
            self._admit(attempt.router, self.now_s, attempt.left_count)

    def _check(self, attempt, loss, earlier):
        """Ask a server for its health; faults concern requests only."""
        answer = server_survival.Answer.REFUSED
        ended_s = self.now_s + CONNECT_S
        if attempt.server.is_up:
            answer, ended_s = server_survival.Answer.ALIVE, self.now_s + HEALTH_CHECK_S
        check = server_survival.Check(self.now_s, ended_s, answer)
        self.after(ended_s - self.now_s, self._judge, attempt, loss, (*earlier, check))

    def _judge(self, attempt, loss, checks):
        verdict = server_survival.judge(loss.lost_s, checks, self.now_s)
        if verdict is server_survival.Verdict.OPEN:
            interval_s = server_survival.CHECK_INTERVAL_S
            self.after(interval_s, self._check, attempt, loss, checks)
            return
        has_survived = verdict is server_survival.Verdict.SURVIVED
        counts = self.counts[attempt.router]
        is_crash = crash_counts.settle(counts, REQUEST, loss, has_survived=has_survived)
        if is_crash and not self.options["is_cut_off"]:
            self.after(REPORT_DELAY_S, self._tell, attempt.router, loss)

    def _tell(self, sender, loss):
        for router, counts in enumerate(self.counts):
            if router != sender:
                crash_counts.record_loss(counts, REQUEST, loss.server_id, loss.lost_s)

    def reached_later_count(self):
        """Return the requests that were sent after the third crash was known."""
        if len(self.crashed_at_s) < CRASHES_COUNT:
            return 0
        known_s = self.crashed_at_s[CRASHES_COUNT - 1] + CONTACT_S
        return sum(at_s > known_s for at_s in self.reached_at_s)


@pytest.mark.parametrize("routers_count", [1, 9])
@pytest.mark.parametrize("run_s", [PLAIN_S, STREAM_S], ids=["plain", "stream"])
@pytest.mark.parametrize("fault", ["reset", "broken_off", "mute", "mixed"])
@pytest.mark.parametrize("seed", range(4))
def test_equal_requests_beside_servers_that_go_on_are_not_refused(
    seed, fault, run_s, routers_count
):
    """Guards against faults of a server that are taken for crashes by a request."""
    world = World(seed, routers_count, DURATION_S, fault=fault, run_s=run_s).run()
    assert world.refused <= MAX_REFUSED_SHARE * world.sent


@pytest.mark.parametrize("routers_count", [1, 9])
@pytest.mark.parametrize("crash_after_s", [0.01, 0.5, 2.5])
@pytest.mark.parametrize("rate_per_s", [0.5, 4.0])
@pytest.mark.parametrize("seed", range(4))
def test_request_that_crashes_servers_reaches_three_more_at_most_for_hours(
    seed, rate_per_s, crash_after_s, routers_count
):
    world = World(
        seed,
        routers_count,
        FOREVER_S,
        rate_per_s=rate_per_s,
        crash_after_s=crash_after_s,
    ).run()
    assert len(world.crashed_at_s) >= CRASHES_COUNT
    assert world.reached_later_count() <= ALLOWED_MORE_COUNT


@pytest.mark.parametrize("crash_after_s", [0.01, 0.5, 2.5])
@pytest.mark.parametrize("seed", range(4))
def test_router_that_is_cut_off_sends_three_more_at_most_for_hours(seed, crash_after_s):
    world = World(
        seed, 1, FOREVER_S, rate_per_s=1.0, crash_after_s=crash_after_s, is_cut_off=True
    ).run()
    assert len(world.crashed_at_s) >= CRASHES_COUNT
    assert world.reached_later_count() <= ALLOWED_MORE_COUNT
