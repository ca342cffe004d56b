"""Ports that tests give to processes which they are about to start."""

from builders.processes import find_port_pair, find_ports

_DRAWS = 100


def test_ports_drawn_one_by_one_differ() -> None:
    """Two upstreams of one test drew one port; the later one never came up."""
    drawn = [find_ports(1)[0] for _ in range(_DRAWS)]
    assert len(set(drawn)) == _DRAWS


def test_second_port_of_a_pair_is_given_to_nobody() -> None:
    """A process listens on the port behind its own as well."""
    pairs = [find_port_pair() for _ in range(_DRAWS)]
    assert not {port + 1 for port in pairs} & set(find_ports(_DRAWS))
