"""Orders of backend servers: how many of each kind a service shall have in each zone.

Ordinary servers carry the load, with a base in each zone.  Servers that may be
reclaimed (spot servers) are cheap and carry the bursts, spread over all zones, so that
the loss of all of them in one zone leaves enough for the present load.  The total goes
up at once and ahead of the load by the time that a server takes to boot; it goes down
by one server for each zone and step, only while no request waits or is refused.

Pure: the caller passes the time and keeps the state.  What can't be known for certain
is counted both ways: a call without an answer may be executed later, so bounds hold for
either number of servers.
"""

import dataclasses
import math

from hickoryweir.duties import calls
from hickoryweir.forwarding_policy import order_state, server_demand
from hickoryweir.routes import model

# Spare capacity for bursts that come within a second, sooner than a server boots.  More
# spot servers spread cached prompt parts over more servers, which prefill them again.
BURST_FACTOR = 1.25
ORDINARY_BURST_FACTOR = 1.25
# Ordinary servers are returned while the rest serves this much more than the load.
RETURN_FACTOR = 1.3
# Share of the present load that ordinary servers carry without any spot servers.  With
# fewer, two zones reclaimed within seconds of each other left too few, without caches.
BASE_SHARE = 1.0
# Ordinary servers are ordered for the base only below this share of it, so that the
# base of a wave's peak isn't ordered and returned with each wave.
GROWTH_BASE_SHARE = 0.6
# Age of the list and of the routers' messages, and the interval between decisions.
INPUTS_LAG_S = 1.3
# After a server's boot time, for how long it may be missing from the list.
LIST_LAG_S = 2.0
# Older inputs cause no return of servers.
MAX_AGE_S = 2.5
# Share of the routers whose load has to be known before servers are returned.
REPORTING_SHARE = 0.8
# Longer than a restart of routers or a partition of a zone; fewer routers are usual
# afterwards.
ROUTERS_RETENTION_S = 60.0
# A list without any server is taken for an error of the list for so long.
EMPTY_LIST_S = 3.0
# Time from the first listed server until a holder without history takes the list for
# complete: the list lags by about a second, and servers start one after the other.
FIRST_LIST_S = 3.0
# A service without any listed server for so long has none.
NO_SERVERS_S = 20.0
# Time of traffic after which the load is known well enough to return servers for it.
MEASURING_S = 20.0
# A new holder returns nothing in its first seconds; servers may be booting that it
# doesn't know of.
SETTLING_S = 2.0
# Time without waiting or refused requests before a server is returned.
QUIET_S = 3.0
# Each server that leaves takes its cached prompt parts with it.
RETURN_INTERVAL_S = 1.0
# Before the first request nothing is cached.
IDLE_RETURN_INTERVAL_S = 0.5
# Spot servers cost little, and their return has to wait for the next burst.
SPOT_RETURN_INTERVAL_S = 5.0
# No server is returned sooner after an increase; at most one reversal in this time.
REVERSAL_S = 10.0
# Smaller increases than this share are left until there is more to order.
GROWTH_SHARE = 0.05
GROWTH_INTERVAL_S = 1.0
# Beyond the boot time, time for ordered servers to help before refusals cause a further
# increase.
ESCALATION_MARGIN_S = 1.0
ESCALATION_SHARE = 0.1
ESCALATION_MAX_SHARE = 1.5
# A reclaimed zone has no spot servers for about 10 s, and each refused order requires
# a new token.
RECLAIM_PAUSE_S = 4.0
# Interval between repeats while an earlier call may still be executed.
REPEAT_INTERVAL_S = 3.0
# Interval between repeats of an order whose servers are missing.
MISSING_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Inputs:
    """What a decision for one service is based on.

    Attributes
    ----------
    slots_count : int
        Slots of one server; 0 if unknown.
    list_age_s : float
        Age of the list that `servers` was counted from.
    checks_fencing : bool
        Whether a call that is executed late is refused for its earlier token.
    """

    service_name: str
    scaling: model.Scaling
    slots_count: int
    servers: tuple[order_state.ZoneServers, ...]
    demand: server_demand.Demand
    list_age_s: float
    checks_fencing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """Totals that a decision aims at.

    Attributes
    ----------
    least_count : int
        Servers that must remain if all spot servers of any one zone are lost.
    target_count : int
        Servers in all.
    base_count : int
        Ordinary servers in each zone.
    """

    least_count: int
    target_count: int
    base_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Orders to send now, in this sequence, and what they aim at.

    Attributes
    ----------
    state : order_state.State
        State to pass to :func:`.order_outcomes.record_outcome` and the next decision.
    is_waiting : bool
        Whether requests wait or are refused for lack of servers.
    """

    orders: tuple[calls.ServerOrder, ...]
    state: order_state.State
    sizes: Sizes
    is_waiting: bool


@dataclasses.dataclass(slots=True)
class _Plan:
    """A decision in progress: subjects, listed servers and numbers to order."""

    inputs: Inputs
    state: order_state.State
    now_s: float
    subjects: dict[tuple[str, bool], order_state.Subject]
    listed: dict[tuple[str, bool], order_state.ZoneServers]
    numbers: dict[tuple[str, bool], int]
    repeats: list[tuple[str, bool]] = dataclasses.field(default_factory=list)

    @property
    def zones(self) -> list[str]:
        """Return the zones, cheapest first."""
        prices = dict(self.inputs.scaling.zone_prices)
        zones = {zone for zone, _ in self.subjects}
        return sorted(zones, key=lambda zone: (prices.get(zone, 1.0), zone))

    def ready_count(self, key: tuple[str, bool]) -> int:
        found = self.listed.get(key)
        return 0 if found is None else found.ready_count

    def serving_count(self, key: tuple[str, bool]) -> int:
        """Return the servers that serve and will not leave for an order."""
        return min(self.ready_count(key), self.numbers[key])

    def is_overdue(self, key: tuple[str, bool]) -> bool:
        """Return whether all ordered servers should be listed by now."""
        boot_s = self.inputs.scaling.boot_s
        due_s = self.subjects[key].ordered_at_s + boot_s + LIST_LAG_S
        return self.now_s >= due_s

    def counted_on(self, key: tuple[str, bool]) -> int:
        """Return the servers that serve or are expected to within their boot time."""
        if self.is_overdue(key):
            return self.serving_count(key)
        return self.numbers[key]

    def highest_count(self, key: tuple[str, bool]) -> int:
        """Return the highest number that any call may still lead to."""
        counts = [item.servers_count for item in self.subjects[key].unanswered]
        ordered_count = self.subjects[key].ordered_count
        return max([self.numbers[key], ordered_count, *counts])

    def lowest_count(self, key: tuple[str, bool]) -> int:
        """Return the lowest number that any call may still lead to."""
        counts = [item.servers_count for item in self.subjects[key].unanswered]
        return min([self.numbers[key], *counts])

    def is_paused(self, key: tuple[str, bool]) -> bool:
        return self.now_s < self.subjects[key].paused_until_s

    def room_count(self, key: tuple[str, bool]) -> int:
        """Return the largest number that keeps the zone's maximum."""
        zone, is_spot = key
        other = self.highest_count((zone, not is_spot))
        return max(0, self.inputs.scaling.max_count - other)


def decide(inputs: Inputs, state: order_state.State, now_s: float) -> Decision:
    """Return the orders that are due.

    Parameters
    ----------
    inputs : Inputs
        Present view of the service.
    state : order_state.State
        Result of the last decision and of :func:`.order_outcomes.record_outcome`.
    now_s : float
        Time on a clock that never goes back.

    Returns
    -------
    Decision
        Orders, and the state to pass next; outcomes are recorded by
        :func:`.order_outcomes.record_outcome`.
    """
    plan = _begin_plan(inputs, state, now_s)
    if not plan.subjects or _observe_list(plan):
        return Decision((), plan.state, Sizes(0, 0, 0), False)
    is_waiting = _observe(plan)
    sizes = _compute_sizes(plan)
    _grow(plan, sizes, is_waiting)
    has_increases = bool(_changes(plan))
    if not has_increases and _may_return(plan):
        _return_surplus(plan, sizes)
    _repeat(plan)
    state = dataclasses.replace(plan.state, subjects=tuple(plan.subjects.values()))
    if now_s < state.paused_until_s:
        return Decision((), state, sizes, is_waiting)
    keys = [*_changes(plan), *plan.repeats]
    orders = tuple(
        calls.ServerOrder(inputs.service_name, key[0], plan.numbers[key], key[1])
        for key in keys
    )
    return Decision(orders, state, sizes, is_waiting)


def _observe_list(plan: _Plan) -> bool:
    """Record since when the list is empty; return whether it probably lacks servers."""
    if not plan.state.has_history and not plan.state.subjects:
        return _observe_first_list(plan)
    state, now_s = plan.state, plan.now_s
    is_empty = not plan.listed and any(plan.numbers.values())
    since_s = None
    if is_empty:
        since_s = now_s if state.empty_since_s is None else state.empty_since_s
    plan.state = dataclasses.replace(state, empty_since_s=since_s)
    return since_s is not None and now_s - since_s < EMPTY_LIST_S


def _is_settling(state: order_state.State, now_s: float) -> bool:
    """Return whether the servers in the list are those from before any order."""
    began_s = state.began_s
    if state.listed_since_s is not None:
        began_s = state.listed_since_s + FIRST_LIST_S
    return now_s - began_s < SETTLING_S


def _observe_first_list(plan: _Plan) -> bool:
    """Add the first list's time to the state; return whether it may lack servers.

    An order of the few servers in an incomplete list would return all others.
    """
    state, now_s = plan.state, plan.now_s
    listed_since_s = state.listed_since_s
    if plan.listed and listed_since_s is None:
        listed_since_s = now_s
    plan.state = dataclasses.replace(state, listed_since_s=listed_since_s)
    if listed_since_s is None:
        return now_s - state.began_s < NO_SERVERS_S
    return now_s - listed_since_s < FIRST_LIST_S


def _changes(plan: _Plan) -> list[tuple[str, bool]]:
    """Return the subjects with another number than the ordered one."""
    zones = plan.zones
    keys = [(zone, is_spot) for is_spot in (False, True) for zone in zones]
    changed = [
        key for key in keys if plan.numbers[key] != plan.subjects[key].ordered_count
    ]
    # Returns first would leave too few for a moment; increases first may exceed the
    # maximum only if both kinds change, which `room_count` excludes.
    return sorted(
        changed, key=lambda key: plan.numbers[key] < plan.subjects[key].ordered_count
    )


def _begin_plan(inputs: Inputs, state: order_state.State, now_s: float) -> _Plan:
    listed = {(item.availability_zone, item.is_spot): item for item in inputs.servers}
    subjects = {(item.availability_zone, item.is_spot): item for item in state.subjects}
    zones = {zone for zone, _ in inputs.scaling.zone_prices}
    zones |= {zone for zone, _ in (*listed, *subjects) if zone}
    for zone in sorted(zones):
        for is_spot in (False, True):
            key = (zone, is_spot)
            found = listed.get(key)
            ready_count = 0 if found is None else found.ready_count
            known = subjects.get(key) or order_state.Subject(zone, is_spot, ready_count)
            subjects[key] = _refresh(known, found, inputs, now_s)
    numbers = {key: subject.ordered_count for key, subject in subjects.items()}
    return _Plan(inputs, state, now_s, subjects, listed, numbers)


def _refresh(
    subject: order_state.Subject,
    found: order_state.ZoneServers | None,
    inputs: Inputs,
    now_s: float,
) -> order_state.Subject:
    """Return a subject without expired calls, and with what the list shows of it."""
    unanswered = tuple(item for item in subject.unanswered if item.until_s > now_s)
    changes = {"unanswered": unanswered}
    ready_count = 0 if found is None else found.ready_count
    settled_s = subject.sent_at_s + inputs.scaling.boot_s + LIST_LAG_S
    if ready_count > subject.ordered_count and now_s >= settled_s:
        # More than ordered: an older call was executed late, or the first list was
        # incomplete.
        changes["ordered_count"] = ready_count
    is_reclaimed = (
        subject.is_spot
        and found is not None
        and found.draining_count > 0
        and ready_count < subject.ordered_count
        and found.draining_count > max(1, ready_count)
    )
    if is_reclaimed:
        changes["paused_until_s"] = max(
            subject.paused_until_s, now_s + RECLAIM_PAUSE_S - LIST_LAG_S
        )
        changes["ordered_at_s"] = -math.inf
    return dataclasses.replace(subject, **changes)


def _observe(plan: _Plan) -> bool:
    """Add the present load to the state; return whether requests wait."""
    state, demand, now_s = plan.state, plan.inputs.demand, plan.now_s
    slots_count = plan.inputs.slots_count
    serving_count = sum(plan.serving_count(key) for key in plan.subjects)
    is_waiting = server_demand.has_waiting(demand, serving_count, slots_count)
    has_traffic = demand.requests_count > 0 or demand.admitted_per_s > 0
    traffic_since_s = state.traffic_since_s
    if traffic_since_s is None and (has_traffic or demand.refused_per_s > 0):
        traffic_since_s = now_s
    sample = server_demand.Sample(
        now_s, server_demand.needed_count(demand, slots_count)
    )
    listed_count = sum(item.ready_count for item in plan.inputs.servers)
    # What an earlier holder ordered includes the room for bursts.
    reference_count = listed_count / (BURST_FACTOR if state.has_history else 1.0)
    escalated = state.escalated
    if escalated and now_s - escalated.at_s > server_demand.PEAK_WINDOW_S:
        escalated = None
    if demand.refused_per_s > 0:
        escalated = _escalate(plan, escalated)
    plan.state = dataclasses.replace(
        state,
        reference_count=max(
            state.reference_count,
            reference_count if _is_settling(state, now_s) else 0.0,
        ),
        samples=server_demand.add_sample(state.samples, sample),
        escalated=escalated,
        traffic_since_s=traffic_since_s,
        waited_at_s=now_s if is_waiting else state.waited_at_s,
    )
    plan.state = _observe_routers(plan.state, demand.routers_count, now_s)
    return is_waiting


def _observe_routers(
    state: order_state.State, routers_count: int, now_s: float
) -> order_state.State:
    """Return a state with the most routers that were connected lately."""
    is_over = now_s - state.routers_peak_at_s > ROUTERS_RETENTION_S
    if routers_count < state.routers_peak_count and not is_over:
        return state
    return dataclasses.replace(
        state, routers_peak_count=routers_count, routers_peak_at_s=now_s
    )


def _escalate(
    plan: _Plan, escalated: server_demand.Sample | None
) -> server_demand.Sample:
    """Return a higher total for refusals that the servers counted on did not avoid."""
    wait_s = plan.inputs.scaling.boot_s + ESCALATION_MARGIN_S
    if escalated and plan.now_s - escalated.at_s < wait_s:
        return escalated
    demand = plan.inputs.demand
    refused_share = ESCALATION_MAX_SHARE
    if demand.admitted_per_s > 0:
        refused_share = demand.refused_per_s / demand.admitted_per_s
    share = min(max(refused_share, ESCALATION_SHARE), ESCALATION_MAX_SHARE)
    counted_on = sum(plan.counted_on(key) for key in plan.subjects)
    return server_demand.Sample(plan.now_s, (1 + share) * max(1, counted_on))


def _compute_sizes(plan: _Plan) -> Sizes:
    inputs, state, now_s = plan.inputs, plan.state, plan.now_s
    scaling, zones_count = inputs.scaling, len(plan.zones)
    needed = server_demand.needed_count(inputs.demand, inputs.slots_count)
    peak = server_demand.peak_count(state.samples)
    since_s = state.traffic_since_s
    if since_s is None or now_s - since_s < MEASURING_S:
        peak = max(peak, state.reference_count)
    ahead = server_demand.predicted_count(
        state.samples,
        server_demand.Sample(now_s, needed),
        scaling.boot_s + INPUTS_LAG_S,
    )
    has_spot = _has_spot(scaling)
    factor = BURST_FACTOR if has_spot else ORDINARY_BURST_FACTOR
    escalated = state.escalated.servers_count if state.escalated else 0.0
    least_count = max(1, math.ceil(peak))
    target_count = math.ceil(max(factor * peak, ahead, escalated, least_count))
    if not has_spot:
        base = target_count / zones_count
    elif zones_count == 1:
        base = least_count
    else:
        base = BASE_SHARE * least_count / zones_count
    base_count = min(max(math.ceil(base), scaling.min_count), scaling.max_count)
    return Sizes(least_count, target_count, base_count)


def _has_spot(scaling: model.Scaling) -> bool:
    return scaling.spot_price is not None and scaling.spot_price < 1.0


def _grow(plan: _Plan, sizes: Sizes, is_waiting: bool) -> None:
    """Raise numbers to the minimum, the base and the target."""
    for zone in plan.zones:
        key = (zone, False)
        lowest = GROWTH_BASE_SHARE * sizes.base_count
        if not plan.is_paused(key) and plan.numbers[key] < lowest:
            plan.numbers[key] = max(
                plan.numbers[key], min(sizes.base_count, plan.room_count(key))
            )
    if _has_spot(plan.inputs.scaling):
        _grow_spot(plan, sizes, is_waiting)
    _grow_ordinary(plan, sizes, is_waiting)


def _grow_spot(plan: _Plan, sizes: Sizes, is_waiting: bool) -> None:
    targets = _spot_targets(plan, sizes)
    for key, target_count in targets.items():
        subject = plan.subjects[key]
        is_missing = plan.is_overdue(key) and plan.ready_count(key) < plan.numbers[key]
        is_repeated = subject.sent_at_s > subject.ordered_at_s + LIST_LAG_S
        if is_missing and is_repeated:
            # The infrastructure does not replace them for a repeated order.
            lost_count = plan.numbers[key] - plan.ready_count(key)
            target_count = min(target_count + lost_count, plan.room_count(key))
        added_count = target_count - plan.numbers[key]
        least_added = max(1, math.ceil(GROWTH_SHARE * plan.numbers[key]))
        is_due = is_waiting or plan.now_s - subject.ordered_at_s >= GROWTH_INTERVAL_S
        if added_count >= (1 if is_waiting else least_added) and is_due:
            plan.numbers[key] = target_count


def _spot_targets(plan: _Plan, sizes: Sizes) -> dict[tuple[str, bool], int]:
    """Return the number of spot servers for each zone that is not paused.

    They are spread evenly, with the remainder in the cheapest zones; what does not fit
    into a zone goes to the others.
    """
    zones = plan.zones
    usable = [zone for zone in zones if not plan.is_paused((zone, True))]
    base_count = sizes.base_count * len(zones)
    paused_count = sum(
        plan.counted_on((zone, True)) for zone in zones if zone not in usable
    )
    wanted = sizes.target_count - base_count - paused_count
    if len(usable) > 1:
        left = sizes.least_count - base_count
        wanted = max(wanted, math.ceil(left * len(usable) / (len(usable) - 1)))
    targets = {(zone, True): 0 for zone in usable}
    for _ in range(max(0, wanted)):
        free = [key for key in targets if targets[key] < plan.room_count(key)]
        if not free:
            break
        # `targets` has the cheapest zone first, which `min` prefers among equals.
        targets[min(free, key=lambda key: targets[key])] += 1
    return targets


def _grow_ordinary(plan: _Plan, sizes: Sizes, is_waiting: bool) -> None:
    """Order ordinary servers for what spot servers don't cover, and for the minimum."""
    scaling = plan.inputs.scaling
    for zone in plan.zones:
        key = (zone, False)
        lowest = plan.lowest_count(key) + plan.lowest_count((zone, True))
        if lowest < scaling.min_count and not plan.is_paused(key):
            wanted = plan.numbers[key] + scaling.min_count - lowest
            plan.numbers[key] = min(wanted, plan.room_count(key))
    wanted = sizes.least_count
    if is_waiting:
        wanted = max(wanted, sizes.target_count)
    missing = wanted - sum(_expected_count(plan, key) for key in plan.subjects)
    for _ in range(max(0, missing)):
        free = [
            (zone, False)
            for zone in plan.zones
            if not plan.is_paused((zone, False))
            and plan.numbers[(zone, False)] < plan.room_count((zone, False))
        ]
        if not free:
            return
        plan.numbers[min(free, key=lambda key: plan.numbers[key])] += 1


def _expected_count(plan: _Plan, key: tuple[str, bool]) -> int:
    """Return the servers that are counted on, including those to be ordered now."""
    added = plan.numbers[key] - plan.subjects[key].ordered_count
    return plan.counted_on(key) if added <= 0 else plan.numbers[key]


def _may_return(plan: _Plan) -> bool:
    """Return whether the load is known well enough, and low enough, for a return."""
    inputs, state, now_s = plan.inputs, plan.state, plan.now_s
    demand = inputs.demand
    needed_routers = REPORTING_SHARE * state.routers_peak_count
    return (
        now_s - state.began_s >= SETTLING_S + inputs.scaling.boot_s
        and now_s - state.waited_at_s >= QUIET_S
        and inputs.list_age_s <= MAX_AGE_S
        and demand.age_s <= MAX_AGE_S
        and demand.reporting_count > 0
        and demand.reporting_count >= needed_routers
        and (inputs.slots_count > 0 or state.traffic_since_s is None)
    )


def _return_surplus(plan: _Plan, sizes: Sizes) -> None:
    """Lower numbers by one server in each zone, where the rest is enough."""
    state, now_s = plan.state, plan.now_s
    is_idle = state.traffic_since_s is None
    interval_s = IDLE_RETURN_INTERVAL_S if is_idle else RETURN_INTERVAL_S
    zones = list(reversed(plan.zones))
    if now_s - state.returned_at_s >= interval_s:
        for zone in zones:
            _return_excess(plan, zone)
        for zone in zones:
            key = (zone, False)
            if plan.numbers[key] > sizes.base_count:
                _return_one(plan, key, sizes.least_count, RETURN_FACTOR)
    is_held = now_s - state.grown_at_s < REVERSAL_S
    is_held |= any(plan.is_paused(key) for key in plan.subjects)
    if is_held or now_s - state.spot_returned_at_s < SPOT_RETURN_INTERVAL_S:
        return
    targets = _spot_targets(plan, sizes)
    for zone in zones:
        key = (zone, True)
        if plan.numbers[key] > targets.get(key, plan.numbers[key]):
            factor = sizes.target_count / sizes.least_count
            _return_one(plan, key, sizes.least_count, factor)


def _return_excess(plan: _Plan, zone: str) -> None:
    """Lower a zone's number by one where a new maximum is exceeded."""
    total = plan.numbers[(zone, False)] + plan.numbers[(zone, True)]
    if total > plan.inputs.scaling.max_count:
        for key in ((zone, True), (zone, False)):
            if plan.numbers[key] > 0 and _return_one(plan, key, 0, 0.0):
                return


def _return_one(
    plan: _Plan, key: tuple[str, bool], least_count: int, factor: float
) -> bool:
    """Lower a number by one if the servers that stay are enough; return whether."""
    subject = plan.subjects[key]
    if subject.unanswered or plan.numbers[key] != subject.ordered_count:
        return False
    before = plan.numbers[key]
    if plan.ready_count(key) < before:
        # Servers are missing from the list, or it is incomplete for a moment.
        return False
    plan.numbers[key] = before - 1
    if plan.numbers[key] < 0 or not _is_enough(plan, key[0], least_count, factor):
        plan.numbers[key] = before
        return False
    return True


def _is_enough(plan: _Plan, zone: str, least_count: int, factor: float) -> bool:
    """Return whether the planned servers suffice, in all and in a zone."""
    inputs, demand = plan.inputs, plan.inputs.demand
    slots_count = inputs.slots_count
    serving = {key: plan.serving_count(key) for key in plan.subjects}
    total = sum(serving.values())
    spot_count = max(serving[(other, True)] for other in plan.zones)
    zone_count = serving[(zone, False)] + serving[(zone, True)]
    at_servers = sum(
        item.at_servers_count for item in demand.zones if item.availability_zone == zone
    )
    in_progress = server_demand.least_count(demand.requests_count, slots_count)
    return (
        total >= factor * least_count
        and total - spot_count >= (least_count if factor else 0)
        and total >= max(1, in_progress)
        and zone_count >= server_demand.least_count(at_servers, slots_count)
        and zone_count >= inputs.scaling.min_count
    )


def _repeat(plan: _Plan) -> None:
    """Send orders again that may have been undone, or whose servers are missing."""
    for key, subject in plan.subjects.items():
        if plan.numbers[key] != subject.ordered_count or plan.is_paused(key):
            continue
        if plan.numbers[key] > plan.room_count(key):
            # Decreases are recorded late, so a successor may know more than are left.
            continue
        since_s = plan.now_s - subject.sent_at_s
        is_undone = any(
            item.servers_count != subject.ordered_count for item in subject.unanswered
        )
        is_missing = (
            subject.ordered_at_s > -math.inf or subject.is_spot
        ) and plan.ready_count(key) < subject.ordered_count
        if (is_undone and since_s >= REPEAT_INTERVAL_S) or (
            is_missing and plan.is_overdue(key) and since_s >= MISSING_INTERVAL_S
        ):
            plan.repeats.append(key)
