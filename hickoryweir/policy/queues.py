"""Queues of one router: fair among accounts, tiers strict, floors by credit.

Each class has one heap ordered by start tags (start-time fair queueing over
accounts).  Classes of a pool are served by tier; a backlogged class earns
credit with each dispatch of the pool, as its floor share says, and a class
with enough credit for its next call goes first.
"""

import heapq

from hickoryweir.policy import state

CREDIT_LIMIT_CALLS = 4.0


def push(core: state.Core, call: state.Call) -> None:
    """Queue a call; one that waited before keeps its place."""
    queue = core.queues[call.request_class.name]
    if call.next_attempt == 1:
        call.start_tag = _start_tag(core, queue, call)
    core.sequence += 1
    entry = (call.start_tag, core.sequence, call.arrived.request_id)
    heapq.heappush(queue.heap, entry)
    queue.length += 1
    queue.cost += call.cost
    call.queued = True


def _start_tag(core: state.Core, queue: state.ClassQueue, call: state.Call) -> float:
    if not core.settings.mechanisms.fair_accounts:
        return call.arrived_s
    account = call.arrived.account
    start = max(queue.virtual, queue.finish.get(account, 0.0))
    weight = core.accounts[account].account.weight
    queue.finish[account] = start + call.cost / weight
    return start


def remove(core: state.Core, call: state.Call) -> None:
    """Take a waiting call out of its queue, wherever it stands."""
    queue = core.queues[call.request_class.name]
    call.queued = False
    queue.length -= 1
    queue.cost = max(0.0, queue.cost - call.cost)
    if queue.length == 0:
        queue.heap.clear()
        queue.cost = 0.0
        queue.finish.clear()
        queue.virtual = 0.0


def head(core: state.Core, queue: state.ClassQueue) -> state.Call | None:
    """Return the next call of a class, or None."""
    while queue.heap:
        call = core.calls.get(queue.heap[0][2])
        if call is not None and call.queued:
            return call
        heapq.heappop(queue.heap)
    return None


def pop(core: state.Core, queue: state.ClassQueue, call: state.Call) -> None:
    """Take the head of a class and advance the class's virtual time."""
    heapq.heappop(queue.heap)
    queue.virtual = max(queue.virtual, call.start_tag)
    remove(core, call)


def service_order(core: state.Core, pool: state.Pool) -> list[state.ClassQueue]:
    """Return the backlogged classes of a pool in the order to serve them."""
    backlogged = [
        core.queues[name] for name in pool.class_names if core.queues[name].length
    ]
    if len(backlogged) < 2 or not core.settings.mechanisms.floor_shares:
        return backlogged
    return sorted(backlogged, key=lambda queue: not has_credit(core, queue))


def has_credit(core: state.Core, queue: state.ClassQueue) -> bool:
    """Return whether a class may go before higher tiers on its floor share."""
    call = head(core, queue)
    return call is not None and queue.credit >= call.cost


def charge(core: state.Core, pool: state.Pool, call: state.Call) -> None:
    """Account for one dispatch in the floor credits of the pool's classes."""
    for name in pool.class_names:
        queue = core.queues[name]
        if queue.length == 0 and name != call.request_class.name:
            queue.credit = 0.0
            continue
        limit = CREDIT_LIMIT_CALLS * call_cost_limit(core, queue, call)
        earned = queue.request_class.floor_share * call.cost
        spent = call.cost if name == call.request_class.name else 0.0
        queue.credit = max(-limit, min(limit, queue.credit + earned - spent))


def call_cost_limit(
    core: state.Core, queue: state.ClassQueue, call: state.Call
) -> float:
    """Return the cost that bounds a class's credit, in calls of its own size."""
    waiting = head(core, queue)
    return max(call.cost, waiting.cost if waiting else 0.0)
