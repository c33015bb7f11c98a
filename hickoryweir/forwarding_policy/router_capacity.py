"""Whether a router has capacity for new requests within the limits of its VM.

The use of the link, the processor and the descriptors is compared with their limits;
the bytes held in memory have bounds of their own, see :mod:`.held_bytes`.  Beyond a
threshold the less urgent requests are refused first, so that their clients try another
router.  A refusal begins at a higher use than it ends, so that it does not flicker.

A request is not relayed for lack of capacity: its bytes would still pass through this
router, and take as much of the link, the processor and the descriptors.  Readiness does
not follow the use either: a balancer takes seconds to follow it, and would move all
clients of a busy router at once to others that are as busy.

Unknown limits, 0, bound nothing.
"""

import dataclasses
import enum
import math

BITS_PER_BYTE = 8
BITS_PER_MB = 1e6
# Length of the window that the use of link and processor is measured over.  A processor
# quota of a few tenths of a core is used up for a tenth of a second even at low load.
WINDOW_S = 2.0
# A shorter window, as after a start, gives no reliable measurement.
MIN_SPAN_S = 1.5
# By priority.  The most urgent requests are not refused for the link or the processor,
# which are shared among all requests; others are refused only where all of it is used.
REFUSAL_SHARES = (math.inf, 0.99, 0.97)
# Accepted connections need descriptors before their requests can be refused.
DESCRIPTORS_REFUSAL_SHARE = 0.9
HYSTERESIS_SHARE = 0.1


class Resource(enum.StrEnum):
    """What a VM has a limit of."""

    LINK_IN = "link_in"
    LINK_OUT = "link_out"
    PROCESSOR = "processor"
    DESCRIPTORS = "descriptors"


class Verdict(enum.StrEnum):
    """What becomes of a new request."""

    TAKE = "take"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a VM; 0 stands for an unknown one.

    Attributes
    ----------
    link_mbps : float
        Megabits a second, in each direction.
    cores : float
        Processor seconds in each second.
    descriptors_count : int
        File descriptors of the process.
    """

    link_mbps: float = 0.0
    cores: float = 0.0
    descriptors_count: int = 0


NO_LIMITS = Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Totals of a process since its start, and its descriptors now."""

    at_s: float
    received_size_bytes: int
    sent_size_bytes: int
    processor_s: float
    descriptors_count: int


@dataclasses.dataclass(slots=True)
class Capacity:
    """Use of a VM's limits.

    Attributes
    ----------
    samples : list of Sample
        Those of the window, oldest first.
    uses : dict
        Used share of each limit that is known.
    refused_from : dict
        Lowest priority number that is refused because of a resource; those that refuse
        none are left out.
    """

    limits: Limits = NO_LIMITS
    samples: list[Sample] = dataclasses.field(default_factory=list)
    uses: dict[Resource, float] = dataclasses.field(default_factory=dict)
    refused_from: dict[Resource, int] = dataclasses.field(default_factory=dict)


def record(capacity: Capacity, sample: Sample) -> None:
    """Add a sample, and update what is refused.

    Examples
    --------
    >>> capacity = Capacity(Limits(link_mbps=8.0, cores=0.5, descriptors_count=100))
    >>> record(capacity, Sample(0.0, 0, 0, 0.0, 10))
    >>> record(capacity, Sample(2.0, 400_000, 1_950_000, 0.5, 95))
    >>> {name.value: use for name, use in capacity.uses.items()}
    {'link_in': 0.2, 'link_out': 0.975, 'processor': 0.5, 'descriptors': 0.95}
    >>> {name.value: number for name, number in capacity.refused_from.items()}
    {'link_out': 2, 'descriptors': 0}
    """
    capacity.samples.append(sample)
    while sample.at_s - capacity.samples[0].at_s > WINDOW_S:
        del capacity.samples[0]
    capacity.uses = _measure(capacity.limits, capacity.samples[0], sample)
    capacity.refused_from = {
        resource: refused
        for resource, use in capacity.uses.items()
        if (refused := _refused_from(resource, use, capacity.refused_from)) is not None
    }


def _measure(limits: Limits, first: Sample, last: Sample) -> dict[Resource, float]:
    uses = {}
    span_s = last.at_s - first.at_s
    if span_s >= MIN_SPAN_S and limits.link_mbps:
        whole_size_bytes = span_s * limits.link_mbps * BITS_PER_MB / BITS_PER_BYTE
        received = last.received_size_bytes - first.received_size_bytes
        sent = last.sent_size_bytes - first.sent_size_bytes
        uses[Resource.LINK_IN] = received / whole_size_bytes
        uses[Resource.LINK_OUT] = sent / whole_size_bytes
    if span_s >= MIN_SPAN_S and limits.cores:
        used_s = last.processor_s - first.processor_s
        uses[Resource.PROCESSOR] = used_s / (span_s * limits.cores)
    if limits.descriptors_count:
        share = last.descriptors_count / limits.descriptors_count
        uses[Resource.DESCRIPTORS] = share
    return uses


def _refused_from(
    resource: Resource, use: float, known: dict[Resource, int]
) -> int | None:
    """Return the lowest priority number that is refused at a use, or None."""
    shares = REFUSAL_SHARES
    if resource is Resource.DESCRIPTORS:
        shares = (DESCRIPTORS_REFUSAL_SHARE,)
    for number, share in enumerate(shares):
        is_refused = known.get(resource, math.inf) <= number
        if use >= share - (HYSTERESIS_SHARE if is_refused else 0.0):
            return number
    return None


def decide(capacity: Capacity, priority: int) -> tuple[Verdict, tuple[Resource, ...]]:
    """Return what becomes of a new request, and which resources are short for it.

    Examples
    --------
    >>> capacity = Capacity(refused_from={Resource.LINK_OUT: 1})
    >>> [decide(capacity, priority)[0].value for priority in (0, 1, 2)]
    ['take', 'refuse', 'refuse']
    """
    short = tuple(
        resource
        for resource, refused in capacity.refused_from.items()
        if priority >= refused
    )
    return (Verdict.REFUSE if short else Verdict.TAKE), short


def transfer_s(limits: Limits, size_bytes: int, queued_size_bytes: int) -> float:
    """Return how long the link needs for a response behind what it has to send.

    Examples
    --------
    >>> transfer_s(Limits(link_mbps=8.0), 500_000, 1_500_000)
    2.0
    >>> transfer_s(Limits(), 500_000, 1_500_000)
    0.0
    """
    if not limits.link_mbps:
        return 0.0
    total_bits = BITS_PER_BYTE * (size_bytes + queued_size_bytes)
    return total_bits / (BITS_PER_MB * limits.link_mbps)
