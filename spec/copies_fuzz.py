"""A router of the real code, whose servers write copies of earlier responses."""

from hypothesis import stateful

from hickoryweir.forwarding.tests import copied_responses


class CopiesMachine(stateful.RuleBasedStateMachine):
    """Requests that run at most once, at servers that repeat their responses."""

    @stateful.rule(calls=copied_responses.CALLS)
    def call(self, calls: list[copied_responses.Call]) -> None:
        """Check one sequence of calls; see :func:`copied_responses.check`."""
        copied_responses.check(calls)
