"""Tables in the soak of planned stops that move routes and change the idle time.

Each backend server is in the list for two services.  Every other table moves the routes
to the other one, while requests wait, and every other pair of tables has another idle
time for the connections that clients open.
"""

import random

from hickoryweir.testing.soak import stop_events

SERVICE, MOVED_SERVICE = "app", "moved"
SHORT_IDLE_TIMEOUT_S = 1.0
MOVES_COUNT = 6
# Before and after the signal to a router.
EARLIEST_S, LATEST_S = -1.0, 6.0
LIMITS = f"""
[limits]
idle_timeout_s = {SHORT_IDLE_TIMEOUT_S:g}
"""


def add_entries(entries: list[dict]) -> list[dict]:
    """Return a list of backend servers with each of them for the other service too.

    Examples
    --------
    >>> [entry["service"] for entry in add_entries([{"id": "s0", "service": "app"}])]
    ['app', 'moved']
    """
    moved = [
        entry | {"id": f"moved-{entry['id']}", "service": MOVED_SERVICE}
        for entry in entries
        if entry["service"] == SERVICE
    ]
    return entries + moved


def add_service(table: str) -> str:
    """Return the text of a table with the other service."""
    return f"{table}\n[service {MOVED_SERVICE}]\nslots_count = 64\n"


def move(table: str, version: int) -> str:
    r"""Return the text of a table as a version has it.

    Examples
    --------
    >>> move("services = app\n", 3)
    'services = moved\n\n[limits]\nidle_timeout_s = 1\n'
    >>> move("services = app\n", 4)
    'services = app\n'
    """
    if version % 2:
        table = table.replace(
            f"services = {SERVICE}\n", f"services = {MOVED_SERVICE}\n"
        )
    return table + (LIMITS if version // 2 % 2 else "")


def draw(seed: int, stops: list[stop_events.Event]) -> list[stop_events.Event]:
    """Return tables around the stops, which change no other event of a seed."""
    generator = random.Random(f"{seed} moves")
    return [
        stop_events.Event(
            stop.at_s + generator.uniform(EARLIEST_S, LATEST_S),
            stop_events.REPLACE_TABLE,
        )
        for stop in stops
        for _ in range(MOVES_COUNT)
    ]
