"""Random copies of responses never make a request run twice nor break a promise."""

import hypothesis

from hickoryweir.forwarding.tests import copied_responses

EXAMPLES = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)


@EXAMPLES
@hypothesis.given(copied_responses.CALLS)
def test_copies_make_no_request_run_twice_and_break_no_promise(calls):
    copied_responses.check(calls)
