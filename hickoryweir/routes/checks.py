"""Validation of routing tables."""

import collections
import math

from hickoryweir.routes import model

# The largest integer that a message of the replicated log holds.
MAX_VERSION = (1 << 64) - 1


def find_problems(table: model.RoutingTable) -> tuple[str, ...]:
    """Return every problem of a table; an empty tuple if it is valid.

    Examples
    --------
    >>> find_problems(model.RoutingTable(1, (), (), model.Limits(), ()))
    ()
    """
    return (
        *_invalid_version(table),
        *_duplicate_services(table),
        *_unknown_services(table),
        *_duplicate_prefixes(table),
        *_invalid_weights(table),
        *_invalid_values(table),
        *_duplicate_keys(table),
    )


def _invalid_version(table: model.RoutingTable) -> list[str]:
    if 0 <= table.version <= MAX_VERSION:
        return []
    return [f"the version must be from 0 to {MAX_VERSION}"]


def _duplicates(items: list) -> list:
    return sorted(
        item for item, count in collections.Counter(items).items() if count > 1
    )


def _duplicate_services(table: model.RoutingTable) -> list[str]:
    names = [service.name for service in table.services]
    return [f"service {name} is defined twice" for name in _duplicates(names)]


def _unknown_services(table: model.RoutingTable) -> list[str]:
    known = {service.name for service in table.services}
    return [
        f"route {route.name} names the unknown service {destination.service_name}"
        for route in table.routes
        for destination in route.destinations
        if destination.service_name not in known
    ]


def _duplicate_prefixes(table: model.RoutingTable) -> list[str]:
    prefixes = [(route.host.lower(), route.path_prefix) for route in table.routes]
    return [
        f"two routes share host {host} and prefix {prefix}"
        for host, prefix in _duplicates(prefixes)
    ]


def _invalid_weights(table: model.RoutingTable) -> list[str]:
    found = []
    for route in table.routes:
        weights = [destination.weight for destination in route.destinations]
        if sum(weights) <= 0 or min(weights) < 0:
            found.append(
                f"route {route.name} has a negative weight or weights that sum to 0"
            )
        elif not math.isfinite(sum(weights)):
            found.append(f"the weights of route {route.name} have no finite sum")
    return found


def _invalid_values(table: model.RoutingTable) -> list[str]:
    found = []
    for route in table.routes:
        if route.timeout_s <= 0:
            found.append(f"the timeout of route {route.name} must be above 0")
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            found.append(f"the prefix of route {route.name} must begin and end with /")
    return found


def _duplicate_keys(table: model.RoutingTable) -> list[str]:
    holders = collections.defaultdict(set)
    for position, account in enumerate(table.accounts):
        for key in account.keys:
            holders[key].add(position)
    # The key is a secret and must not appear in the message.
    return [
        "two client accounts share a key"
        for positions in holders.values()
        if len(positions) > 1
    ]
