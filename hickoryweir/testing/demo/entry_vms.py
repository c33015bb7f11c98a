"""Entry VMs of the demonstration: their settings files and processes."""

import contextlib
import dataclasses
import hashlib
import pathlib
import signal
import socket
import subprocess
import sys

HOST = "127.0.0.1"
OPERATOR_KEY = "demo-operator"
STOP_TIMEOUT_S = 30.0
BALANCER_LAG_S = 0.2
DRAIN_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVm:
    """One entry VM: its name, zone, ports and folder."""

    name: str
    availability_zone: str
    callers_port: int
    operators_port: int
    peers_port: int
    folder: pathlib.Path

    @property
    def callers_url(self) -> str:
        """Return the base URL of its callers' port."""
        return f"http://{HOST}:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """Return the base URL of its operators' port."""
        return f"http://{HOST}:{self.operators_port}"

    @property
    def settings_file(self) -> pathlib.Path:
        """Return the path of its settings."""
        return self.folder / "settings.ini"


@dataclasses.dataclass(slots=True)
class RunningVm:
    """An entry VM whose process runs."""

    entry_vm: EntryVm
    process: subprocess.Popen


def free_port(preferred: int = 0) -> int:
    """Return the preferred port if it is free, else one that is."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            probe.bind((HOST, preferred))
            return probe.getsockname()[1]
    return free_port()


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


def render_settings(entry_vm: EntryVm, all_vms: tuple[EntryVm, ...]) -> str:
    """Return the settings of one entry VM as INI text."""
    digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    own = f"""\
[process]
name = {entry_vm.name}
availability_zone = {entry_vm.availability_zone}
cluster_id = demo
roles = router, replica

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
balancer_lag_s = {BALANCER_LAG_S}
limit_s = {DRAIN_LIMIT_S}
"""
    others = [
        f"""
[peer {other.name}]
host = {HOST}
port = {other.peers_port}
availability_zone = {other.availability_zone}
roles = router, replica
"""
        for other in all_vms
        if other is not entry_vm
    ]
    return own + "".join(others)


def write_settings(all_vms: tuple[EntryVm, ...]) -> None:
    """Write the settings file of each entry VM into its folder."""
    for entry_vm in all_vms:
        entry_vm.folder.mkdir(parents=True, exist_ok=True)
        entry_vm.settings_file.write_text(render_settings(entry_vm, all_vms))


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
