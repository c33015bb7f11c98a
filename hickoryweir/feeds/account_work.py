"""A replica's side of account shares: sums of the routers' counts of work.

Routers report while they refuse prompts for lack of capacity, or nearly do, or hear
that others do.  The leading replica sends the sums back while any router is short of
capacity, so neither sends anything at other times.
"""

import dataclasses
import statistics
from collections.abc import Hashable, Iterable

from hickoryweir.feeds import messages
from hickoryweir.forwarding_policy import account_shares

# Seven time constants of the decay; what remains of older counts is negligible.
REPORT_RETENTION_S = 5.0
# Bounds the size of a message; above the services of any site's table.
MAX_SERVICES_COUNT = 64


def make_service_work(
    service_name: str,
    is_short: bool,
    completed: float,
    demands: dict[str, account_shares.Demand],
) -> messages.ServiceWork:
    """Convert the demands at a service to a message."""
    return messages.ServiceWork(
        service_name,
        is_short,
        round(completed),
        tuple(
            messages.AccountWork(
                account,
                tuple(round(work) for work in demand.offered),
                round(demand.admitted),
                round(demand.refused),
            )
            for account, demand in demands.items()
        ),
    )


def read_demands(work: messages.ServiceWork) -> dict[str, account_shares.Demand]:
    """Return the demands in a message; malformed entries are left out.

    Examples
    --------
    >>> good = messages.AccountWork("a", (1, 0, 0, 0), 1, 0)
    >>> bad = messages.AccountWork("b", (-5,), 1, 0)
    >>> list(read_demands(messages.ServiceWork("app", True, 1, (good, bad))))
    ['a']
    """
    return {
        item.account: account_shares.Demand(
            tuple(float(work) for work in item.offered),
            float(item.admitted),
            float(item.refused),
        )
        for item in work.accounts[: account_shares.MAX_ACCOUNTS_COUNT + 1]
        if len(item.offered) == account_shares.URGENCIES_COUNT
        and min(*item.offered, item.admitted, item.refused) >= 0
    }


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """Demands and completed work at one router, by service."""

    received_s: float
    demands: dict[str, dict[str, account_shares.Demand]]
    completed: dict[str, int]
    short: frozenset[str]


class WorkKeeper:
    """The last counts of each router, and their sums.

    Routers are identified by their connections.
    """

    def __init__(self) -> None:
        self._reports: dict[Hashable, _Report] = {}
        self._was_short = False

    def add(self, router: Hashable, message: messages.RouterWork, now_s: float) -> None:
        """Replace the counts of a router."""
        services = message.services[:MAX_SERVICES_COUNT]
        self._reports[router] = _Report(
            now_s,
            {work.service_name: read_demands(work) for work in services},
            {work.service_name: max(0, work.completed) for work in services},
            frozenset(work.service_name for work in services if work.is_short),
        )

    def remove(self, router: Hashable) -> None:
        """Forget a router that has disconnected."""
        self._reports.pop(router, None)

    def total(self, now_s: float) -> messages.TotalWork | None:
        """Return the sums at services with too little room; None if there are none.

        Once there are none any more, one empty sum tells the routers to forget theirs.
        """
        self._reports = {
            router: report
            for router, report in self._reports.items()
            if now_s - report.received_s < REPORT_RETENTION_S
        }
        reports = list(self._reports.values())
        short = {
            name
            for report in reports
            if now_s - report.received_s < account_shares.SHORT_FOR_S
            for name in report.short
        }
        was_short, self._was_short = self._was_short, bool(short)
        if not short:
            return messages.TotalWork((), 0.0, len(reports)) if was_short else None
        # A router that fell silent must not make the counts of the others look old.
        age_s = statistics.median(now_s - report.received_s for report in reports)
        services = tuple(
            make_service_work(
                name,
                True,
                _sum_completed(reports, name, now_s),
                _sum_service(reports, name, now_s),
            )
            for name in sorted(short)
        )
        return messages.TotalWork(services, age_s, len(reports))


def _sum_service(
    reports: Iterable[_Report], name: str, now_s: float
) -> dict[str, account_shares.Demand]:
    return account_shares.merge(
        (account_shares.remaining(now_s - report.received_s), report.demands[name])
        for report in reports
        if name in report.demands
    )


def _sum_completed(reports: Iterable[_Report], name: str, now_s: float) -> float:
    return sum(
        account_shares.remaining(now_s - report.received_s)
        * report.completed.get(name, 0)
        for report in reports
    )
