"""Settings of a router or replica process, validated from INI sections."""

import dataclasses
import enum
import os
import pathlib
from typing import Annotated

import pydantic
from returns import result

from hickoryweir.configuration import fields, inifile, problems
from hickoryweir.forwarding_policy import held_bytes, router_capacity
from hickoryweir.replicas import wire
from hickoryweir.streams import handshake

CLUSTER_ID = "hickoryweir"
# Processor use is not bounded: on VMs with a share of a core, processor time also
# advanced while other VMs ran, so that idle routers refused all requests.
UNKNOWN_CORES = 0.0
# Name of the feature for sites whose client accounts compete for capacity.
PRESSURE = "pressure"


class Role(enum.StrEnum):
    """Role of the process."""

    ROUTER = "router"
    REPLICA = "replica"


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdecimal():
        raise ValueError(f"is {value!r}")
    return value


Address = Annotated[
    str,
    pydantic.AfterValidator(_check_address),
    pydantic.Field(description="an IP address and a port, such as 10.0.1.4:8000"),
]
Addresses = Annotated[
    tuple[Address, ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(description="addresses separated by commas"),
]
OptionalText = Annotated[str, pydantic.Field(description="text, or nothing")]


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """Identity and peer network of this process.

    Attributes
    ----------
    host : str
        IP address of this VM, also the name of this process in peer handshakes.
    peer_port : int
        Port for connections between the processes, the same on all VMs.  Replicas
        listen there for peers, routers for requests of other routers.
    seeds : tuple of str
        Addresses of hosts that run replicas.
    """

    role: Role
    host: fields.Host
    availability_zone: OptionalText
    peer_port: fields.Port
    seeds: Addresses = ()
    metrics_port: fields.Port = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Addresses to listen on; an empty one disables the port."""

    clients: OptionalText = ""
    readiness: OptionalText = ""
    operators: OptionalText = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """Replica of the log on this VM.

    Attributes
    ----------
    data_folder : str
        Folder of its persistent state.
    bootstrap : bool
        Whether an empty folder may bootstrap a new log with the seeds.
    tolerated_losses_count : int
        Number of simultaneous replica failures to tolerate.
    detects_copies : bool
        Whether to reject a copied folder, detected by the inode number of a file;
        disable on file systems that change inode numbers.
    is_in_fault_budget : bool
        Whether the tolerated losses include this VM.  One that may be lost besides
        votes only where others are missing.
    """

    data_folder: OptionalText = ""
    bootstrap: fields.Flag = False
    tolerated_losses_count: fields.Count = 1
    detects_copies: fields.Flag = True
    is_in_fault_budget: fields.Flag = True


@dataclasses.dataclass(frozen=True, slots=True)
class Discovery:
    """Address of the server list, and maximum total rate at which it is read."""

    address: OptionalText = ""
    rate_per_s: fields.Rate = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Retries:
    """Retry budget shared by all routers."""

    ratio: fields.RateOrZero = 0.2
    window_s: fields.Seconds = 10.0
    extra_count: fields.RateOrZero = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """Time for open requests to complete after a stop signal."""

    grace_s: fields.Seconds = 8.0


class Duty(enum.StrEnum):
    """Duty towards the infrastructure that one VM has at a time."""

    USAGE_REPORTING = "usage_reporting"
    AUTOSCALE = "autoscale"


DutyNames = Annotated[
    tuple[Duty, ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(description="usage_reporting, autoscale, both or nothing"),
]
FeatureNames = Annotated[
    tuple[str, ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(description="names separated by commas"),
]
Milliseconds = Annotated[
    float,
    pydantic.Field(gt=0, allow_inf_nan=False, description="milliseconds, above 0"),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Duties:
    """Duties that one replica at a time has, the holder; none by default.

    Attributes
    ----------
    calls_per_s : float
        Calls a second that the infrastructure takes from all VMs together.
    checks_fencing : bool
        Whether it refuses calls with an earlier fencing token.
    lease_ms : float
        Time within which no earlier holder may act again after another one.
    resume_grace_ms : float
        Time after a frozen VM resumes in which the infrastructure tolerates late calls;
        not used, since no calls are made in it.
    usage_window_s : float
        Length of a window of usage.
    usage_tolerance : float
        Largest share by which a reported count may be off; not used.
    usage_due_s : float
        Time after the end of a window until when its usage is due.
    """

    names: DutyNames = ()
    calls_per_s: fields.Rate = 10.0
    checks_fencing: fields.Flag = False
    lease_ms: Milliseconds = 3_000.0
    resume_grace_ms: Milliseconds = 300.0
    usage_window_s: fields.Seconds = 5.0
    usage_tolerance: fields.Share = 0.05
    usage_due_s: fields.Seconds = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """Optional features of the forward path.

    Attributes
    ----------
    names : tuple of str
        With `PRESSURE`, short capacity is divided between client accounts, and
        requests keep within servers' memory and within this VM's limits.  Others are
        ignored, so that a list with more names may be given.
    """

    names: FeatureNames = ()

    @property
    def has_pressure(self) -> bool:
        """Return whether the feature `PRESSURE` is on."""
        return PRESSURE in self.names


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """Limits of the VM that a process runs on; 0 stands for an unknown one.

    `processor_share` and `cores_count` are not used, see `UNKNOWN_CORES`.
    """

    memory_mb: fields.RateOrZero = 0.0
    max_descriptors_count: fields.CountOrZero = 0
    link_mbps: fields.RateOrZero = 0.0
    processor_share: fields.RateOrZero = 0.0
    cores_count: fields.CountOrZero = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Buffers:
    """Bounds on the bytes that a router holds for slow clients and servers.

    Attributes
    ----------
    process_mb : float
        Bound of the process in MiB; 0 derives it from ``[vm] memory_mb``.
    account_share : float
        Part of it that the requests of one client account may use.
    stream_kb : int
        Bound of a stream that waits for its client, in KiB; 0 derives it from that of
        the process.
    socket_kb : int
        Size of the kernel's receive buffer of each socket, in KiB; 0 leaves it to the
        kernel.
    send_kb : int
        Size of the kernel's send buffer of each client's socket, likewise.
    """

    process_mb: fields.RateOrZero = 0.0
    account_share: fields.Share = 0.25
    stream_kb: fields.CountOrZero = 0
    socket_kb: fields.CountOrZero = 64
    send_kb: fields.CountOrZero = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """All settings of one process."""

    process: Process
    ports: Ports
    replica: Replica
    discovery: Discovery
    retries: Retries
    shutdown: Shutdown
    duties: Duties = Duties()
    vm: Vm = Vm()
    features: Features = Features()
    buffers: Buffers = Buffers()


SECTIONS = {
    "process": Process,
    "ports": Ports,
    "replica": Replica,
    "discovery": Discovery,
    "retries": Retries,
    "shutdown": Shutdown,
    "duties": Duties,
    "vm": Vm,
    "features": Features,
    "buffers": Buffers,
}
LAYOUT = inifile.Layout(
    {title: inifile.make_schema(cls) for title, cls in SECTIONS.items()}, {}
)


def load(path: pathlib.Path) -> result.Result[EntrySettings, problems.InvalidInput]:
    """Load and validate a settings file, or return all problems in it."""
    try:
        text = path.read_text()
    except OSError as error:
        problem = problems.Problem(str(path), "", "", str(error), "a readable file")
        return result.Failure(problems.InvalidInput((problem,)))
    return parse(text, str(path))


def parse(text: str, file: str) -> result.Result[EntrySettings, problems.InvalidInput]:
    """Parse and validate the text of a settings file.

    Examples
    --------
    >>> parse("[process]", "a.ini").failure().problems[0].message
    'missing key'
    """
    return inifile.load(text, file, LAYOUT).bind(
        lambda content: _check_buffers(EntrySettings(**content.single), file)
    )


def held_limits(entry_settings: EntrySettings) -> held_bytes.Limits:
    """Return the bounds on held bytes; pressure divides room among accounts."""
    buffers, limits = entry_settings.buffers, None
    if entry_settings.features.has_pressure:
        limits = held_bytes.derive_limits(
            entry_settings.vm.memory_mb,
            buffers.process_mb,
            buffers.account_share,
            buffers.stream_kb,
            buffers.socket_kb,
            buffers.send_kb,
        )
    if limits is not None:
        return limits
    memory_mb = memory_size_bytes(entry_settings) / held_bytes.MB
    return held_bytes.derive_vm_limits(memory_mb, buffers.socket_kb)


def memory_size_bytes(entry_settings: EntrySettings) -> int:
    """Return the memory of the VM: its stated limit, else what the kernel reports."""
    if entry_settings.vm.memory_mb:
        return int(entry_settings.vm.memory_mb * held_bytes.MB)
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def vm_limits(entry_settings: EntrySettings) -> router_capacity.Limits:
    """Return the limits of the VM for requests; none without pressure."""
    vm = entry_settings.vm
    if not entry_settings.features.has_pressure:
        return router_capacity.NO_LIMITS
    return router_capacity.Limits(vm.link_mbps, UNKNOWN_CORES, vm.max_descriptors_count)


def _check_buffers(
    entry_settings: EntrySettings, file: str
) -> result.Result[EntrySettings, problems.InvalidInput]:
    """Return the settings, or which bounds of a router contradict each other."""
    is_router = entry_settings.process.role is Role.ROUTER
    if not is_router or not entry_settings.features.has_pressure:
        return result.Success(entry_settings)
    found = _find_buffer_problems(entry_settings)
    if not found:
        return result.Success(entry_settings)
    return result.Failure(
        problems.InvalidInput(
            tuple(
                problems.Problem(file, section, key, f"is {value:g}", expected)
                for section, key, value, expected in found
            )
        )
    )


def _find_buffer_problems(
    entry_settings: EntrySettings,
) -> list[tuple[str, str, float, str]]:
    """Return section, key, value and expected value of each invalid bound."""
    memory_mb, buffers = entry_settings.vm.memory_mb, entry_settings.buffers
    found = []
    least_mb = held_bytes.MIN_MEMORY_MB
    if 0.0 < memory_mb < least_mb:
        found.append(("vm", "memory_mb", memory_mb, f"0 or at least {least_mb:g}"))
    most_mb = memory_mb - held_bytes.IDLE_MEMORY_MB
    if memory_mb >= least_mb and buffers.process_mb > most_mb:
        expected = f"at most {most_mb:g}, what an idle process leaves of memory_mb"
        found.append(("buffers", "process_mb", buffers.process_mb, expected))
    if not buffers.account_share:
        found.append(("buffers", "account_share", 0.0, "a share above 0"))
    limits = held_limits(entry_settings)
    if limits.stream_size_bytes > limits.account_size_bytes > 0:
        expected = "no more than an account may hold: process_mb times account_share"
        found.append(("buffers", "stream_kb", buffers.stream_kb, expected))
    return found


def seed_replicas(entry_settings: EntrySettings) -> tuple[wire.ReplicaAddress, ...]:
    """Return the peer addresses of the seed replicas, sorted by name."""
    hosts = sorted({seed.rpartition(":")[0] for seed in entry_settings.process.seeds})
    port = entry_settings.process.peer_port
    return tuple(wire.ReplicaAddress(host, host, port, "") for host in hosts)


def peer_identity(entry_settings: EntrySettings) -> handshake.Identity:
    """Return the identity of this process in peer handshakes."""
    process = entry_settings.process
    return handshake.Identity(CLUSTER_ID, process.host, process.availability_zone)
