"""A router of the real code, whose backend server sends random bytes."""

from hypothesis import stateful
from hypothesis import strategies as st

from hickoryweir.forwarding.tests import early_ends, raw_responses


class ResponsesMachine(stateful.RuleBasedStateMachine):
    """Calls that meet a random response, each followed by a call that is answered."""

    @stateful.rule(response=raw_responses.RESPONSES, is_stream=st.booleans())
    def call(self, response: bytes, is_stream: bool) -> None:
        """Check one response; see :func:`raw_responses.check`."""
        raw_responses.check(response, is_stream)

    @stateful.rule(response=raw_responses.RESPONSES)
    def resume(self, response: bytes) -> None:
        """Check one response to the resumption of a stream."""
        raw_responses.check_second(response)

    @stateful.rule(
        opening=raw_responses.FLOOD_OPENINGS,
        unit=raw_responses.FLOOD_UNITS,
        is_stream=st.booleans(),
    )
    def flood(self, opening: bytes, unit: bytes, is_stream: bool) -> None:
        """Check one response without end; see :func:`raw_responses.check_flood`."""
        raw_responses.check_flood(opening, unit, is_stream)

    @stateful.rule(draw=early_ends.DRAWS)
    def end_early(self, draw: early_ends.Draw) -> None:
        """Check one response beside an upload; see :func:`early_ends.check`."""
        early_ends.check(draw)
