"""Small routing tables for tests."""

from hickoryweir.routes import model


def make_route(name="chat", prefix="/chat/", **changes) -> model.Route:
    """Return a route for idempotent calls to the service ``app``."""
    fields = {
        "name": name,
        "host": "site.example",
        "path_prefix": prefix,
        "execution": model.Execution.IDEMPOTENT,
        "is_stream": False,
        "timeout_s": 2.0,
        "target_latency_s": 0.5,
        "target_gap_s": 0.0,
        "priority": 1,
        "destinations": (model.Destination("app", 1),),
        "max_attempts_count": 2,
        "allows_anonymous": False,
        "has_prompt": False,
    }
    return model.Route(**(fields | changes))


def make_service(name="app") -> model.Service:
    """Return a plain service."""
    return model.Service(name, "/health", 100, 0, 0)


def make_table(routes=(), accounts=(), version=1, services=None) -> model.RoutingTable:
    """Return a table; its only service is ``app`` unless others are given."""
    services = (make_service(),) if services is None else services
    return model.RoutingTable(
        version, tuple(routes), tuple(services), model.Limits(), tuple(accounts)
    )
