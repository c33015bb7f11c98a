"""Whether a server survived the loss of a request.

Answers a load of equal requests, such as a popular prompt, beside servers that reset
connections, break responses off or leave requests without a response.  Such a server
goes on running, whereas one that a request crashes is gone until it has restarted.  It
is therefore asked for its health right after the loss: a process that ended at the loss
refuses connections, or stays silent, for longer than the checks take.
"""

import dataclasses
import enum
from collections.abc import Iterable

# A process that ends closes its other connections within this time.
CHECK_AFTER_S = 0.05
# Between checks of one server.
CHECK_INTERVAL_S = 0.05
# No server answers a health check so soon after its process has ended.
MIN_RESTART_S = 0.35


class Answer(enum.Enum):
    """What came of a health check."""

    ALIVE = "alive"
    REFUSED = "refused"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """A health check on a new connection."""

    begun_s: float
    ended_s: float
    answer: Answer


class Verdict(enum.Enum):
    """Whether a loss was the end of its server."""

    SURVIVED = "survived"
    CRASHED = "crashed"
    OPEN = "open"


def judge(lost_s: float, checks: Iterable[Check], now_s: float) -> Verdict:
    """Return whether a server survived a loss, by the health checks since.

    Without an answer in time, the loss counts as the end of the server.

    Examples
    --------
    >>> alive, none = Check(0.05, 0.06, Answer.ALIVE), Check(0.05, 0.2, Answer.NONE)
    >>> judge(0.0, [alive], 0.06), judge(0.0, [none], 0.2)
    (<Verdict.SURVIVED: 'survived'>, <Verdict.OPEN: 'open'>)
    >>> judge(0.0, [Check(0.05, 0.06, Answer.REFUSED)], 0.06)
    <Verdict.CRASHED: 'crashed'>
    >>> judge(0.03, [alive], 0.06)
    <Verdict.OPEN: 'open'>
    >>> judge(0.0, [none], 0.4), judge(0.0, [Check(0.3, 0.4, Answer.ALIVE)], 0.4)
    (<Verdict.CRASHED: 'crashed'>, <Verdict.CRASHED: 'crashed'>)
    """
    for check in checks:
        if check.begun_s < lost_s:
            continue
        if check.answer is Answer.REFUSED:
            return Verdict.CRASHED
        is_settled = check.begun_s >= lost_s + CHECK_AFTER_S
        is_in_time = check.ended_s <= lost_s + MIN_RESTART_S
        if check.answer is Answer.ALIVE and is_settled and is_in_time:
            return Verdict.SURVIVED
    return Verdict.CRASHED if now_s >= lost_s + MIN_RESTART_S else Verdict.OPEN
