"""The project's own format of the calls that only the holder of a duty may make."""

from hickoryweir.duties import calls, json_calls

USAGE_PATH = "/duties/usage"
SERVERS_PATH = "/duties/servers"
HOLDER = "X-Holder"
TOKEN = "X-Holder-Token"


def make_format() -> calls.Format:
    """Return the project's own format."""
    return json_calls.make_format(HOLDER, TOKEN, translate)


def translate(call: calls.Call) -> tuple[str, dict]:
    """Return the path and the document of a call."""
    match call:
        case calls.UsageReport():
            counts = dict(call.counts)
            return USAGE_PATH, {"window": call.window_number, "requests": counts}
        case calls.ServerOrder():
            return SERVERS_PATH, {
                "service": call.service_name,
                "availability_zone": call.availability_zone,
                "servers_count": call.servers_count,
                "is_spot": call.is_spot,
            }
