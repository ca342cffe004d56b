"""Allocation of free ports to the processes of a test."""

from builders.processes import find_port_pair, find_ports

_PORT_COUNT = 100


def test_ports_of_separate_calls_differ() -> None:
    """Two processes of a test never get the same port."""
    ports = [find_ports(1)[0] for _ in range(_PORT_COUNT)]
    assert len(set(ports)) == _PORT_COUNT


def test_second_port_of_pair_is_reserved() -> None:
    """The second port of a pair is not allocated again."""
    first_ports = [find_port_pair() for _ in range(_PORT_COUNT)]
    assert not {port + 1 for port in first_ports} & set(find_ports(_PORT_COUNT))
