"""Answers where a request would go, as JSON on a router's metrics port.

``GET /explain`` takes the fields of :class:`.explaining.Question`.  The status is 400
for a malformed question and 422 for one that the table has no answer to.
"""

import dataclasses

from aiohttp import web
from returns import result

from hickoryweir.forwarding import contexts, explaining

PATH = "/explain"


def answer(state: contexts.Forwarder, request: web.BaseRequest) -> web.Response:
    """Return the response to a question."""
    question = explaining.parse_question(request.query)
    if isinstance(question, result.Failure):
        return _respond(question.failure(), 400)
    found = explaining.explain(state, question.unwrap())
    if isinstance(found, result.Failure):
        return _respond(found.failure(), 422)
    return _respond(found.unwrap(), 200)


def _respond(document, status: int) -> web.Response:
    return web.json_response(dataclasses.asdict(document), status=status)
