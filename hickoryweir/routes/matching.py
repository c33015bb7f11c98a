"""The choice of a route, a service and a client account for a request.

A :class:`RouteIndex` is built once for each table, so that a request costs a few
look-ups however many routes there are.
"""

import dataclasses
import random

from hickoryweir.routes import model


@dataclasses.dataclass(frozen=True, slots=True)
class RouteIndex:
    """A table with indexes over its routes, services and keys."""

    table: model.RoutingTable
    routes_by_prefix: dict[tuple[str, str], model.Route]
    services: dict[str, model.Service]
    accounts_by_key: dict[str, model.ClientAccount]


def make_index(table: model.RoutingTable) -> RouteIndex:
    """Return the indexes of a valid table."""
    return RouteIndex(
        table,
        {(route.host.lower(), route.path_prefix): route for route in table.routes},
        {service.name: service for service in table.services},
        {key: account for account in table.accounts for key in account.keys},
    )


def find_route(route_index: RouteIndex, host: str, path: str) -> model.Route | None:
    """Return the route with the longest prefix of `path` at a host.

    Parameters
    ----------
    route_index : RouteIndex
        The table in force.
    host : str
        Host without a port.
    path : str
        Path as sent, without a query.
    """
    lowered = host.lower()
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = route_index.routes_by_prefix.get((lowered, path[: end + 1]))
        if route is not None:
            return route
    return None


def choose_service(route: model.Route, generator: random.Random) -> str:
    """Return the name of one of the route's services, by weight."""
    if len(route.destinations) == 1:
        return route.destinations[0].service_name
    names = [destination.service_name for destination in route.destinations]
    weights = [destination.weight for destination in route.destinations]
    return generator.choices(names, weights)[0]


def bearer_key(authorization: str) -> str:
    """Return the key in an ``Authorization`` header, empty if there is none.

    Examples
    --------
    >>> bearer_key("Bearer abc")
    'abc'
    >>> bearer_key("Basic abc")
    ''
    """
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
