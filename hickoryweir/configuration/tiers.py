"""Priority tiers derived from the partial order of urgency.

Examples
--------
>>> import types
>>> a = types.SimpleNamespace(name="a", more_urgent_than=("b",))
>>> b = types.SimpleNamespace(name="b", more_urgent_than=())
>>> assign((a, b))
{'a': 0, 'b': 1}
>>> find_cycle((a, b))
()
"""

import graphlib


def _graph(requests):
    names = sorted(request.name for request in requests)
    above: dict[str, list[str]] = {name: [] for name in names}
    for request in sorted(requests, key=lambda each: each.name):
        for lower in request.more_urgent_than:
            if lower in above:
                above[lower].append(request.name)
    return above


def find_cycle(requests) -> tuple[str, ...]:
    """Return a cycle in the order of urgency; empty if there is none.

    Parameters
    ----------
    requests : sequence
        Values with ``name`` and ``more_urgent_than``.

    Returns
    -------
    tuple of str
        Starts and ends with the alphabetically first name of the cycle.
    """
    try:
        graphlib.TopologicalSorter(_graph(requests)).prepare()
    except graphlib.CycleError as error:
        return _close_cycle(error.args[1][:-1])
    return ()


def _close_cycle(cycle):
    start = cycle.index(min(cycle))
    return (*cycle[start:], *cycle[: start + 1])


def assign(requests) -> dict[str, int]:
    """Return each request's tier by name; 0 is the most urgent.

    A request is one tier below the lowest tier of the requests that are more
    urgent than it.
    """
    above = _graph(requests)
    assigned: dict[str, int] = {}
    for name in graphlib.TopologicalSorter(above).static_order():
        tiers_above = [assigned[other] for other in above[name]]
        assigned[name] = max(tiers_above, default=-1) + 1
    return dict(sorted(assigned.items()))
