"""Validated requests of callers.

:func:`parse_chat` and :func:`parse_completion` validate bodies by the schemas of the
OpenAI API and accept unknown fields.  The body is sent to the engine unchanged.
"""

import dataclasses
import json
from collections.abc import Mapping

import pydantic
import xxhash
from returns import result

from hickoryweir.configuration import model
from hickoryweir.engines import prefixes
from hickoryweir.outcomes import refusals

CHARACTERS_PER_TOKEN = 4
MAX_MESSAGE_DETAIL_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Properties of a model engine's request body that the router uses.

    Attributes
    ----------
    model_name : str
        Requested model.
    stream : bool
        Whether server-sent events are requested.
    max_output_tokens : int or None
        Limit that the caller sets.
    input_tokens : int
        Estimate from the length of the prompt.
    prefix_digests : tuple of int
        See :mod:`hickoryweir.engines.prefixes`.
    conversation : int or None
        Digest of the first block; None for a prompt shorter than a block.
    """

    model_name: str
    stream: bool
    max_output_tokens: int | None
    input_tokens: int
    prefix_digests: tuple[int, ...]
    conversation: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """An authenticated and validated request.

    Attributes
    ----------
    call_id : str
        The request id with a random suffix, unique in the cluster; identifies the
        call to backend servers.
    request_id : str
        Set by the caller or generated; returned to the caller.
    request_class : model.RequestClass
        Class that sets priority and deadline.
    account : model.Account
        Account of the caller.
    method, path, query : str
        As sent to the backend server; the path starts with a slash.
    headers : tuple of tuple of str
        The caller's headers; used for plain services.
    body : bytes
        The unchanged body.
    prompt : Prompt or None
        None for plain services.
    fingerprint : str
        Digest of account, path and body.
    idempotency_key : str
        Empty for idempotent classes without a key.
    received_at_s : float
        Time of arrival on the monotonic clock.
    """

    call_id: str
    request_id: str
    request_class: model.RequestClass
    account: model.Account
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    prompt: Prompt | None
    fingerprint: str
    idempotency_key: str
    received_at_s: float

    @property
    def deadline_s(self) -> float:
        """Return the monotonic time by which the call must have its final response."""
        return self.received_at_s + self.request_class.deadline_s

    @property
    def stream(self) -> bool:
        """Return whether server-sent events are requested."""
        return self.prompt is not None and self.prompt.stream


class RequestBody(pydantic.BaseModel):
    """Fields that chat completions and completions share."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: str = pydantic.Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1)


class ChatMessage(pydantic.BaseModel):
    """One message of a chat."""

    model_config = pydantic.ConfigDict(extra="allow")

    role: str
    content: str | list[dict] | None = None


class ChatBody(RequestBody):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[ChatMessage] = pydantic.Field(min_length=1)


class CompletionBody(RequestBody):
    """Body of ``POST /v1/completions``."""

    prompt: str | list


def parse_chat(body: bytes) -> result.Result[Prompt, refusals.Refusal]:
    """Validate the body of a chat completion.

    Parameters
    ----------
    body : bytes
        JSON text.

    Returns
    -------
    Result of Prompt, or of Refusal with reason ``BODY_INVALID``
        Properties of the body that the router uses.
    """
    return parse_body(body, ChatBody)


def parse_completion(body: bytes) -> result.Result[Prompt, refusals.Refusal]:
    """Validate the body of a completion; see :func:`parse_chat`."""
    return parse_body(body, CompletionBody)


def parse_body(
    body: bytes, body_class: type[RequestBody]
) -> result.Result[Prompt, refusals.Refusal]:
    """Validate a body by the schema of `body_class`."""
    try:
        decoded = json.loads(body)
        checked = body_class.model_validate(decoded)
        return result.Success(make_prompt(decoded, checked))
    except pydantic.ValidationError as error:
        return result.Failure(refuse_body(describe_error(error)))
    except (ValueError, RecursionError):
        return result.Failure(refuse_body("the body is not JSON"))


def describe_error(error: pydantic.ValidationError) -> str:
    """Return a message for the first error, without any content of the body."""
    first = error.errors(include_input=False, include_url=False)[0]
    where = ".".join(str(part) for part in first["loc"]) or "body"
    return f"{where}: {first['msg']}"[:MAX_MESSAGE_DETAIL_CHARACTERS]


def refuse_body(message: str) -> refusals.Refusal:
    """Return the refusal of an invalid body."""
    return refusals.make_refusal(refusals.Reason.BODY_INVALID, message)


def make_prompt(decoded: Mapping[str, object], checked: RequestBody) -> Prompt:
    """Return the properties of a validated body that the router uses."""
    text = prefixes.prompt_text(decoded)
    digests = prefixes.digest_text(text)
    return Prompt(
        model_name=checked.model,
        stream=checked.stream,
        max_output_tokens=checked.max_completion_tokens or checked.max_tokens,
        input_tokens=len(text) // CHARACTERS_PER_TOKEN + 1,
        prefix_digests=digests,
        conversation=digests[0] if digests else None,
    )


def fingerprint(account: str, path: str, body: bytes) -> str:
    """Return a digest that identifies equal calls of one account.

    JSON bodies are canonicalized first, so that white space and the order of keys
    don't matter.

    Examples
    --------
    >>> first = fingerprint("a", "/x", b'{"k": 1, "l": 2}')
    >>> first == fingerprint("a", "/x", b'{"l":2,"k":1}')
    True
    >>> first == fingerprint("b", "/x", b'{"k": 1, "l": 2}')
    False
    """
    try:
        canonical = json.dumps(json.loads(body), sort_keys=True).encode()
    except (ValueError, RecursionError):
        canonical = body
    digest = xxhash.xxh3_128()
    for part in (account.encode(), path.encode(), canonical):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
