"""Absurd figures in the headers of clients and servers stay where they came from."""

import multidict
import pytest

from hickoryweir.feeds import messages
from hickoryweir.forwarding import header_codec, headers, server_pool
from hickoryweir.forwarding.tests import test_server_pool
from hickoryweir.streams import codec

CODEC = headers.make_header_codec()
ABSURD = ["9" * 400, "9" * 5000, "1e300", "1e999", "-1", "nan", "inf", "\u0663" * 4400]


@pytest.mark.parametrize("number", ABSURD)
@pytest.mark.parametrize("text", ["m;{};1;a:1", "m;1;{};a:1", "m;1;1;a:{}"])
def test_prompt_of_absurd_size_is_no_prompt_and_no_error(text, number):
    # Its router reported no load any more, since the sum fits into no message.
    given = multidict.CIMultiDict({headers.PROMPT: text.format(number)})
    prompt = CODEC.parse_request(given).prompt
    pool, view = test_server_pool.make_pool()
    if prompt is not None:
        tokens_count = prompt.input_tokens_count + prompt.max_output_tokens_count
        tokens_count += sum(part.tokens_count for part in prompt.parts)
        view.in_flight[1] = server_pool.InFlightRequest(
            tokens_count, 0.0, memory_tokens_count=tokens_count
        )
    codec.encode(messages.RouterLoads(server_pool.own_loads(pool, 0.0), ()))


@pytest.mark.parametrize("number", ABSURD)
@pytest.mark.parametrize("text", ["{},0,8,100", "1,{},8,100", "1,0,{},100", "1,0,8,{}"])
def test_absurd_load_of_a_server_is_ignored_or_fits_into_a_message(text, number):
    load = header_codec.parse_load(text.format(number))
    if load is not None:
        counts = (load.running_count, load.waiting_count, load.slots_count)
        assert all(0 <= count <= header_codec.MAX_COUNT for count in counts)


@pytest.mark.parametrize("number", ABSURD)
@pytest.mark.parametrize(
    "name",
    ["Retry-After", headers.LIMIT, headers.MAX_REJECTIONS, headers.LOAD, "Keep-Alive"],
)
def test_absurd_response_header_is_no_error(name, number):
    given = multidict.CIMultiDict({name: number})
    CODEC.parse_response(503, given)
    assert CODEC.parse_request(multidict.CIMultiDict({name: number})).prompt is None


@pytest.mark.parametrize("number", ABSURD)
def test_absurd_time_left_is_no_error(number):
    given = multidict.CIMultiDict({headers.TIME_LEFT: number})
    time_left_s = CODEC.parse_request(given).time_left_s
    assert time_left_s is None or time_left_s >= 0
