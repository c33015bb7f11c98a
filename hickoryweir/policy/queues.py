"""Queues of one router: fair queueing among accounts, strict priority of tiers.

Each class has one heap ordered by start tags (start-time fair queueing over
accounts [1]_).  A call that can no longer meet its first-token target moves to
the class's late queue, which is served after the calls that still can.  Classes
of a pool are served by tier.  A backlogged class earns credit for its floor share
with each dispatch of the pool; a class with enough credit is served first once its
next call has waited for nearly its first-token target.

References
----------
.. [1] P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing: a scheduling algorithm
   for integrated services packet switching networks", IEEE/ACM Transactions on
   Networking 5(5), 1997.
"""

import heapq
import math

from hickoryweir.policy import poison, state

# Bound of a class's credit and debt, in calls.
CREDIT_LIMIT_CALLS = 4.0
# Time constant of the moving average of a class's service rate.
SERVED_WINDOW_S = 5.0
# Share of the first-token target that a call waits before it is served on credit.
CREDIT_WAIT_SHARE = 0.9


def push(core: state.Core, call: state.Call, isolate: bool = True) -> None:
    """Queue a call; a retried call keeps its start tag.

    An isolated suspect is kept outside the heap, since it needs a server that runs
    no other suspect.
    """
    queue = core.queues[call.request_class.name]
    queue.length += 1
    queue.cost += call.cost
    call.queued = True
    call.late = False
    if isolate and poison.is_isolated(core, call.arrived.fingerprint):
        state.pool_of(core, call.request_class).suspects.append(call)
        return
    if call.next_attempt == 1:
        call.start_tag = _start_tag(core, queue, call)
    core.sequence += 1
    entry = (call.start_tag, core.sequence, call.arrived.request_id)
    heapq.heappush(queue.heap, entry)


def _start_tag(core: state.Core, queue: state.ClassQueue, call: state.Call) -> float:
    if not core.settings.mechanisms.fair_accounts:
        return call.arrived_s
    account = call.arrived.account
    start = max(queue.virtual_time, queue.finish_tags.get(account, 0.0))
    weight = core.accounts[account].account.weight
    queue.finish_tags[account] = start + call.cost / weight
    return start


def remove(core: state.Core, call: state.Call) -> None:
    """Remove a call from its queue, at any position.

    Heap entries are dropped lazily.
    """
    queue = core.queues[call.request_class.name]
    call.queued = False
    queue.length -= 1
    queue.cost = max(0.0, queue.cost - call.cost)
    if call.late:
        queue.late_cost = max(0.0, queue.late_cost - call.cost)
    if queue.length == 0:
        queue.heap.clear()
        queue.late_request_ids.clear()
        queue.cost = queue.late_cost = 0.0
        queue.finish_tags.clear()
        queue.virtual_time = 0.0


def is_late(core: state.Core, call: state.Call, now_s: float) -> bool:
    """Return whether a call without attempts will miss its first-token target."""
    if call.next_attempt > 1 or not core.settings.mechanisms.admission:
        return False
    pool = state.pool_of(core, call.request_class)
    first_token_s = now_s + pool.first_token_s
    return first_token_s > call.arrived_s + call.request_class.first_token_target_s


def head(core: state.Core, queue: state.ClassQueue, now_s: float) -> state.Call | None:
    """Return the next call of a class, or None; moves late calls to the late queue."""
    while queue.heap:
        call = core.calls.get(queue.heap[0][2])
        if call is not None and call.queued and not call.late:
            if not is_late(core, call, now_s):
                return call
            call.late = True
            queue.late_request_ids.append(call.arrived.request_id)
            queue.late_cost += call.cost
        heapq.heappop(queue.heap)
    return late_head(core, queue)


def late_head(core: state.Core, queue: state.ClassQueue) -> state.Call | None:
    """Return the first call of the late queue, or None."""
    while queue.late_request_ids:
        call = core.calls.get(queue.late_request_ids[0])
        if call is not None and call.queued and call.late:
            return call
        queue.late_request_ids.popleft()
    return None


def pop(
    core: state.Core, queue: state.ClassQueue, call: state.Call, now_s: float
) -> None:
    """Remove the head of a class and advance the class's virtual time."""
    if call.late:
        queue.late_request_ids.popleft()
    else:
        heapq.heappop(queue.heap)
        queue.virtual_time = max(queue.virtual_time, call.start_tag)
    remove(core, call)
    record_served(queue, call.cost, now_s)


def record_served(queue: state.ClassQueue, cost: float, now_s: float) -> None:
    """Add a dispatch to the class's service rate."""
    queue.served_cost_per_s = served_rate(queue, now_s) + cost / SERVED_WINDOW_S
    queue.served_updated_s = now_s


def served_rate(queue: state.ClassQueue, now_s: float) -> float:
    """Return the moving average of the dispatched cost per second."""
    age_s = now_s - queue.served_updated_s
    return queue.served_cost_per_s * math.exp(-age_s / SERVED_WINDOW_S)


def service_order(
    core: state.Core, pool: state.Pool, now_s: float
) -> list[state.ClassQueue]:
    """Return the backlogged classes of a pool in service order."""
    backlogged = [
        core.queues[name] for name in pool.class_names if core.queues[name].length
    ]
    if len(backlogged) < 2 or not core.settings.mechanisms.floor_shares:
        return backlogged
    return sorted(backlogged, key=lambda queue: not has_credit(core, queue, now_s))


def has_credit(core: state.Core, queue: state.ClassQueue, now_s: float) -> bool:
    """Return whether a class may be served before higher tiers on its floor credit."""
    if not core.settings.mechanisms.floor_shares:
        return False
    call = head(core, queue, now_s)
    if call is None or queue.credit < call.cost:
        return False
    min_wait_s = CREDIT_WAIT_SHARE * call.request_class.first_token_target_s
    return now_s - call.arrived_s >= min_wait_s or call.next_attempt > 1


def update_credits(
    core: state.Core, pool: state.Pool, call: state.Call, now_s: float
) -> None:
    """Update the floor credits of the pool's classes for one dispatch.

    Calls dispatched in tier order are charged too, so credit only makes up for the
    part of the floor share that a class has not received.
    """
    served = call.request_class.name
    for name in pool.class_names:
        queue = core.queues[name]
        if queue.length == 0 and name != served:
            queue.credit = 0.0
            continue
        waiting = head(core, queue, now_s) if queue.length else None
        limit = CREDIT_LIMIT_CALLS * max(call.cost, waiting.cost if waiting else 0.0)
        earned = queue.request_class.floor_share * call.cost
        spent = call.cost if name == served else 0.0
        queue.credit = max(-limit, min(limit, queue.credit + earned - spent))
