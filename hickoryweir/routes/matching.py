"""Look-up of the route, service and client account of a request.

A :class:`RouteIndex` is built once for each table, so that the cost of a look-up
depends on the depth of the path and not on the number of routes.
"""

import dataclasses
import random

from hickoryweir.routes import model


@dataclasses.dataclass(frozen=True, slots=True)
class RouteIndex:
    """A table with indexes of its routes, services and keys."""

    table: model.RoutingTable
    routes_by_prefix: dict[tuple[str, str], model.Route]
    services: dict[str, model.Service]
    accounts_by_key: dict[str, model.ClientAccount]


def make_index(table: model.RoutingTable) -> RouteIndex:
    """Return the index of a valid table."""
    return RouteIndex(
        table,
        {(route.host.lower(), route.path_prefix): route for route in table.routes},
        {service.name: service for service in table.services},
        {key: account for account in table.accounts for key in account.keys},
    )


def find_route(route_index: RouteIndex, host: str, path: str) -> model.Route | None:
    """Return the route of a host with the longest matching path prefix.

    Parameters
    ----------
    route_index : RouteIndex
        Index of the table in force.
    host : str
        Host without a port.
    path : str
        Path as sent, without the query.
    """
    lowered = host.lower()
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = route_index.routes_by_prefix.get((lowered, path[: end + 1]))
        if route is not None:
            return route
    return None


def choose_service(route: model.Route, generator: random.Random) -> str:
    """Return the name of a random service of a route, chosen by weight."""
    if len(route.destinations) == 1:
        return route.destinations[0].service_name
    names = [destination.service_name for destination in route.destinations]
    weights = [destination.weight for destination in route.destinations]
    return generator.choices(names, weights)[0]


def bearer_key(authorization: str) -> str:
    """Return the key in an ``Authorization`` header; empty if there is none.

    Examples
    --------
    >>> bearer_key("Bearer abc")
    'abc'
    >>> bearer_key("Basic abc")
    ''
    """
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
