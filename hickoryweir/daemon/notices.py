"""Posts what responses say of their backend servers to the policy core."""

import time

import multidict

from hickoryweir.daemon import dispatcher
from hickoryweir.engines import calls as engine_calls
from hickoryweir.forwarding import headers, responses
from hickoryweir.observability import logs
from hickoryweir.policy import events

PARSE_RESPONSE = headers.make_header_codec().parse_response


def make_observer(
    core_dispatcher: dispatcher.Dispatcher, server_name: str, request_id: str
) -> engine_calls.OnHead:
    """Return the observer of the response to an attempt that is sent now."""
    sent_at_s = time.monotonic()

    def observe(status: int, received: multidict.CIMultiDictProxy) -> None:
        metadata = PARSE_RESPONSE(status, received)
        if metadata.ignored_notice:
            _log(server_name, request_id, "ignored", metadata.ignored_notice)
        if metadata.is_leaving:
            _log(server_name, request_id, "leaving", "")
        if metadata.pause_s:
            _log(server_name, request_id, "pause", f"{metadata.pause_s:g} s")
        event = events.ServerNoticed(
            server_name,
            sent_at_s,
            not metadata.is_not_run and status < responses.FIRST_FAILURE_STATUS,
            metadata.is_leaving,
            metadata.pause_s,
            metadata.limit_per_s,
            metadata.has_limit,
            metadata.max_rejections_per_s,
            metadata.has_max_rejections,
            metadata.is_not_run,
        )
        dispatcher.post(core_dispatcher, event)

    return observe


def _log(server_name: str, request_id: str, kind: str, detail: str) -> None:
    fields = logs.Fields(
        request_id=request_id, backend_server=server_name, reason=kind, detail=detail
    )
    logs.info("notice of a server", fields)
