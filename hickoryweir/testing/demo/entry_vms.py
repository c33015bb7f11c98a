"""Entry VMs of the demonstration: their settings files and processes."""

import dataclasses
import hashlib
import itertools
import pathlib
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Callable

HOST = "127.0.0.1"
OPERATOR_KEY = "demo-operator"
STOP_TIMEOUT_S = 30.0
BALANCER_LAG_S = 0.2
DRAIN_LIMIT_S = 20.0
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000
FIRST_CANDIDATE_PORT = random.randrange(LOWEST_PORT, HIGHEST_PORT)
CANDIDATE_PORTS = itertools.chain(
    range(FIRST_CANDIDATE_PORT, HIGHEST_PORT),
    range(LOWEST_PORT, FIRST_CANDIDATE_PORT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVm:
    """One entry VM: its name, zone, ports, folder, role and balancer's lag."""

    name: str
    availability_zone: str
    callers_port: int
    operators_port: int
    peers_port: int
    folder: pathlib.Path
    is_replica: bool = True
    balancer_lag_s: float = BALANCER_LAG_S

    @property
    def callers_url(self) -> str:
        """Return the base URL of its callers' port."""
        return f"http://{HOST}:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """Return the base URL of its operators' port."""
        return f"http://{HOST}:{self.operators_port}"

    @property
    def roles(self) -> str:
        """Return its roles as the settings write them."""
        return "router, replica" if self.is_replica else "router"

    @property
    def settings_file(self) -> pathlib.Path:
        """Return the path of its settings."""
        return self.folder / "settings.ini"


@dataclasses.dataclass(slots=True)
class RunningVm:
    """An entry VM whose process runs."""

    entry_vm: EntryVm
    process: subprocess.Popen


def is_free(port: int) -> bool:
    """Return whether nothing listens on a port of loopback."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def free_port(preferred: int = 0) -> int:
    """Return the preferred port if it is free, else one that is.

    Ports lie below the range that the system gives to outgoing connections, and
    none is returned twice in a process.
    """
    if preferred and is_free(preferred):
        return preferred
    return next(port for port in CANDIDATE_PORTS if is_free(port))


def make_entry_vms(
    availability_zones: tuple[str, ...], folder: pathlib.Path, first_port: int
) -> tuple[EntryVm, ...]:
    """Return one entry VM for each availability zone.

    Parameters
    ----------
    availability_zones : tuple of str
        The zones.
    folder : path
        Each entry VM gets a folder below it.
    first_port : int
        Callers' port of the first; the next follow, where they are free.

    Returns
    -------
    tuple of EntryVm
        None of them runs.
    """
    made = []
    for position, zone in enumerate(availability_zones):
        name = f"{zone}-1"
        made.append(
            EntryVm(
                name=name,
                availability_zone=zone,
                callers_port=free_port(first_port + position),
                operators_port=free_port(),
                peers_port=free_port(),
                folder=folder / name,
            )
        )
    return tuple(made)


FindPort = Callable[[EntryVm, EntryVm], int]


def direct_port(source: EntryVm, destination: EntryVm) -> int:
    """Return the port at which one entry VM reaches another: its own."""
    return destination.peers_port


def render_settings(
    entry_vm: EntryVm, all_vms: tuple[EntryVm, ...], find_port: FindPort = direct_port
) -> str:
    """Return the settings of one entry VM as INI text.

    Parameters
    ----------
    entry_vm : EntryVm
        Whose settings.
    all_vms : tuple of EntryVm
        Every entry VM of the cluster.
    find_port : function, optional
        Port at which one entry VM reaches another; a link between them may
        stand there instead of the other's own port.

    Returns
    -------
    str
        Text of a settings file.
    """
    digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    own = f"""\
[process]
name = {entry_vm.name}
availability_zone = {entry_vm.availability_zone}
cluster_id = demo
roles = {entry_vm.roles}

[callers]
host = {HOST}
port = {entry_vm.callers_port}
plain_text = yes

[operators]
host = {HOST}
port = {entry_vm.operators_port}
plain_text = yes

[operator demo]
key_sha256 = {digest}
permissions = read, submit, stop

[peers]
host = {HOST}
port = {entry_vm.peers_port}
plain_text = yes

[replica]
data_folder = data
bootstrap = yes

[logging]
level = info

[drain]
balancer_lag_s = {entry_vm.balancer_lag_s}
limit_s = {DRAIN_LIMIT_S}
"""
    others = [
        f"""
[peer {other.name}]
host = {HOST}
port = {find_port(entry_vm, other)}
availability_zone = {other.availability_zone}
roles = {other.roles}
"""
        for other in all_vms
        if other is not entry_vm
    ]
    return own + "".join(others)


def write_settings(
    all_vms: tuple[EntryVm, ...], find_port: FindPort = direct_port
) -> None:
    """Write the settings file of each entry VM into its folder."""
    for entry_vm in all_vms:
        entry_vm.folder.mkdir(parents=True, exist_ok=True)
        text = render_settings(entry_vm, all_vms, find_port)
        entry_vm.settings_file.write_text(text)


def start(entry_vm: EntryVm) -> RunningVm:
    """Start an entry VM's process; its log goes to a file in its folder."""
    with (entry_vm.folder / "log.jsonl").open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "hickoryweir", "serve", entry_vm.settings_file],
            stdout=log,
            stderr=log,
        )
    return RunningVm(entry_vm, process)


def stop(running: RunningVm) -> int:
    """Ask an entry VM to shut down gracefully and return its exit code."""
    if running.process.poll() is None:
        running.process.send_signal(signal.SIGTERM)
    try:
        return running.process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        running.process.kill()
        return running.process.wait()
