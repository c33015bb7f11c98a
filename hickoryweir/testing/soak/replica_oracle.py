"""Checks that replicas that run and can reach each other work together again."""

import dataclasses

from hickoryweir.testing import promises
from hickoryweir.testing.soak import callers, oracle

# Time after the last fault, or after the loss of one replica, within which a change is
# acknowledged and replicas hear each other.
RECOVERY_BOUND_S = 5.0


@dataclasses.dataclass(slots=True)
class Recovery:
    """What an operator saw after the last fault of a round; times since its end.

    Attributes
    ----------
    began_s : float
        End of the last fault, on the steady clock.
    paused_s : dict
        When each replica was paused, on the steady clock.
    newest_version : int
        Highest version acknowledged before the end of the last fault.
    read_versions : dict
        First version read from each replica; None if none was read in time.
    acknowledged_s : dict
        Time of the first change that each replica acknowledged; None if none in time.
    pairs_s : dict
        The same of the two others, from the pause of a replica on.
    versions : dict
        Version in force at each router, once the bound and the time that a table has
        after its acknowledgement are over.
    expected_version : int
        Highest version acknowledged by then.
    ended : list of (str, int)
        Hosts whose processes had ended by themselves, with exit codes.
    """

    began_s: float = 0.0
    paused_s: dict[str, float] = dataclasses.field(default_factory=dict)
    newest_version: int = 0
    read_versions: dict[str, int | None] = dataclasses.field(default_factory=dict)
    acknowledged_s: dict[str, float | None] = dataclasses.field(default_factory=dict)
    pairs_s: dict[str, float | None] = dataclasses.field(default_factory=dict)
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    expected_version: int = 0
    ended: list[tuple[str, int]] = dataclasses.field(default_factory=list)

    @property
    def first_s(self) -> float | None:
        """Return when the first replica acknowledged a change."""
        times_s = [at_s for at_s in self.acknowledged_s.values() if at_s is not None]
        return min(times_s, default=None)


def find_violations(
    recovery: Recovery, observations: callers.Observations
) -> list[promises.Violation]:
    """Return every violation of a promise in a round."""
    return [
        *find_unavailable(recovery),
        *find_lost(recovery),
        *oracle.find_stale_reads(observations),
        *oracle.find_reverted(observations.in_force),
        *oracle.find_unrecovered(recovery.versions, recovery.expected_version, []),
        *(
            promises.Violation("processes go on", f"{host} ended with {code}")
            for host, code in recovery.ended
        ),
    ]


def find_unavailable(recovery: Recovery) -> list[promises.Violation]:
    """Check that changes are acknowledged, with each replica lost in turn."""
    violations = []
    if is_late(recovery.first_s):
        promise = "a change is acknowledged soon after the last fault"
        violations.append(promises.Violation(promise, f"{recovery.acknowledged_s}"))
    for host, at_s in recovery.acknowledged_s.items():
        if is_late(at_s):
            promise = "each replica takes changes soon after the last fault"
            violations.append(promises.Violation(promise, f"{host}: {at_s}"))
    for host, at_s in recovery.pairs_s.items():
        if is_late(at_s):
            promise = "two replicas hear each other, and go on without the third"
            violations.append(promises.Violation(promise, f"without {host}: {at_s}"))
    return violations


def is_late(at_s: float | None) -> bool:
    """Return whether a change was acknowledged too late or not at all."""
    return at_s is None or at_s > RECOVERY_BOUND_S


def find_lost(recovery: Recovery) -> list[promises.Violation]:
    """Check that what is read after the last fault is not older than acknowledged."""
    return [
        promises.Violation(
            "an acknowledged table is not lost",
            f"{recovery.newest_version} was acknowledged, {host} has {version}",
        )
        for host, version in recovery.read_versions.items()
        if version is not None and version < recovery.newest_version
    ]
