"""Ports of the replicas that tests run."""

import pathlib

from hickoryweir.replicas.tests import register

EPHEMERAL_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_no_outgoing_connection_takes_a_port_before_its_replica_has_bound_it():
    lowest, highest = map(int, EPHEMERAL_RANGE_FILE.read_text().split())
    ports = register.reserve_ports(8)
    assert not any(lowest <= port <= highest for port in ports)
    assert len(set(ports)) == len(ports)
