"""Entry VMs on loopback: their settings files and processes."""

import dataclasses
import fcntl
import hashlib
import itertools
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from typing import TextIO

HOST = "127.0.0.1"
OPERATOR_KEY = "demo-operator"
STOP_TIMEOUT_S = 30.0
BALANCER_LAG_S = 0.2
DRAIN_LIMIT_S = 20.0
# Names a lock file for each port that some process has reserved.
LOCK_FOLDER = pathlib.Path(tempfile.gettempdir(), "hickoryweir-ports")
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000
FIRST_CANDIDATE_PORT = random.randrange(LOWEST_PORT, HIGHEST_PORT)
CANDIDATE_PORTS = itertools.chain(
    range(FIRST_CANDIDATE_PORT, HIGHEST_PORT),
    range(LOWEST_PORT, FIRST_CANDIDATE_PORT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVm:
    """Name, zone, ports, folder, role and load balancer lag of an entry VM."""

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
        """Return the base URL of the port for callers."""
        return f"http://{HOST}:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """Return the base URL of the port for operators."""
        return f"http://{HOST}:{self.operators_port}"

    @property
    def roles(self) -> str:
        """Return its roles in the format of the settings file."""
        return "router, replica" if self.is_replica else "router"

    @property
    def settings_file(self) -> pathlib.Path:
        """Return the path of its settings file."""
        return self.folder / "settings.ini"


@dataclasses.dataclass(slots=True)
class RunningVm:
    """An entry VM and its running process."""

    entry_vm: EntryVm
    process: subprocess.Popen


# Open lock files of the ports that this process has reserved.
_port_locks: list[TextIO] = []


def reserve(port: int, folder: pathlib.Path = LOCK_FOLDER) -> bool:
    """Reserve a free port until this process ends; return whether it was possible.

    The lock keeps other processes that use this function from taking the port before
    the entry VM has bound it.
    """
    folder.mkdir(exist_ok=True)
    lock = (folder / str(port)).open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return False
    if not is_free(port):
        lock.close()
        return False
    _port_locks.append(lock)
    return True


def is_free(port: int) -> bool:
    """Return whether a loopback port can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def free_port(preferred: int = 0) -> int:
    """Reserve and return the preferred port if it is free, else another free port.

    The other ports lie below the system's ephemeral port range, and none of them is
    returned twice in a process.
    """
    if preferred and reserve(preferred):
        return preferred
    return next(port for port in CANDIDATE_PORTS if reserve(port))


def make_entry_vms(
    availability_zones: tuple[str, ...], folder: pathlib.Path, first_port: int
) -> tuple[EntryVm, ...]:
    """Return one entry VM for each availability zone.

    Parameters
    ----------
    availability_zones : tuple of str
        Names of the zones.
    folder : path
        Parent of the entry VMs' folders.
    first_port : int
        Port for callers of the first entry VM; the others use the following ports.
        Ports that are not free are replaced by others.

    Returns
    -------
    tuple of EntryVm
        Not yet started.
    """
    vms = []
    for position, zone in enumerate(availability_zones):
        name = f"{zone}-1"
        vms.append(
            EntryVm(
                name=name,
                availability_zone=zone,
                callers_port=free_port(first_port + position),
                operators_port=free_port(),
                peers_port=free_port(),
                folder=folder / name,
            )
        )
    return tuple(vms)


FindPort = Callable[[EntryVm, EntryVm], int]


def direct_port(source: EntryVm, destination: EntryVm) -> int:
    """Return the destination's own port for peers."""
    return destination.peers_port


def render_settings(
    entry_vm: EntryVm, all_vms: tuple[EntryVm, ...], find_port: FindPort = direct_port
) -> str:
    """Return the settings of one entry VM as INI text.

    Parameters
    ----------
    entry_vm : EntryVm
        Entry VM to render the settings of.
    all_vms : tuple of EntryVm
        Every entry VM of the cluster.
    find_port : function, optional
        Returns the port through which one entry VM (first argument) connects to
        another (second); may be that of a proxy between them.

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
    """Start an entry VM's process, which appends its log to a file in its folder."""
    with (entry_vm.folder / "log.jsonl").open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "hickoryweir", "serve", entry_vm.settings_file],
            stdout=log,
            stderr=log,
        )
    return RunningVm(entry_vm, process)


def stop(running: RunningVm) -> int:
    """Stop an entry VM with SIGTERM, or SIGKILL on timeout; return its exit code."""
    if running.process.poll() is None:
        running.process.send_signal(signal.SIGTERM)
    try:
        return running.process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        running.process.kill()
        return running.process.wait()
