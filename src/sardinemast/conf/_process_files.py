"""Settings of one process."""

from ipaddress import ip_address
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

from sardinemast.checks import CheckError
from sardinemast.conf._fields import (
    Field,
    Source,
    choice,
    get_defaults,
    host_and_port,
    list_of,
    number,
    record,
    text,
)
from sardinemast.conf._files import read_file
from sardinemast.dispatch import PoolPolicy

_HIGHEST_PORT = 65535
_port = number(0, _HIGHEST_PORT, is_whole=True)


class Address(NamedTuple):
    """Name an IP address and a port."""

    host: str
    port: int


class ControlAddress(NamedTuple):
    """Name a control process and where it listens."""

    name: str
    peer: Address
    operator: Address


class LogSettings(NamedTuple):
    """Say where logs go; without a file they go to stderr."""

    level: str
    format: str
    file: str
    max_bytes: int
    backups: int


class Security(NamedTuple):
    """Name the PEM files by which processes and operators know each other."""

    authority: Path
    certificate: Path
    private_key: Path


class Cluster(NamedTuple):
    """Say how control processes find each other without a list of all.

    The founders begin the cluster; others ask them to be taken in. So many
    replicas may be lost at once as ``failures_tolerated`` says. Without
    ``may_found`` an empty folder only joins. Others dial ``own``. Where
    addresses are translated between, it listens at ``bind_host`` and dials
    from there.
    """

    own: ControlAddress
    failures_tolerated: int
    may_found: bool
    bind_host: str = ''

    @property
    def listen_address(self) -> ControlAddress:
        """Give where this process itself listens."""
        if not self.bind_host:
            return self.own
        return get_control_address(self.bind_host, self.own.peer.port)


class ProcessSettings(NamedTuple):
    """Hold everything a process is told when it starts.

    With a ``cluster`` the ``controls`` are its founders. A balancer looks at
    ``readiness``, and ``operators`` is where the platform's own calls come.
    Whoever runs the instances is asked at ``instances``, the outside policy
    of queues that have one at ``advice``. ``metrics`` is where this process
    tells its own. A leader sizes pools by ``pool_sizes``.
    """

    name: str
    roles: tuple[str, ...]
    data_centre: str
    data_folder: Path
    callers: Address
    controls: tuple[ControlAddress, ...]
    logs: LogSettings
    security: Security | None
    cluster: Cluster | None = None
    readiness: Address | None = None
    operators: Address | None = None
    instances: Address | None = None
    advice: Address | None = None
    metrics: Address | None = None
    pool_sizes: PoolPolicy = PoolPolicy()


_ADDRESS = record({'host': Field(text(), '127.0.0.1'), 'port': Field(_port)})
_PLACE = host_and_port(_ADDRESS)
_CONTROL = record(
    {
        'name': Field(text()),
        'peer': Field(_ADDRESS),
        'operator': Field(_ADDRESS),
    },
)
_DEFAULT_LOG_BYTES = 10_000_000
_LOGS = MappingProxyType(
    {
        'level': Field(
            choice('debug', 'info', 'warning', 'error'),
            'info',
        ),
        'format': Field(choice('text', 'json'), 'text'),
        'file': Field(text(), ''),
        'max_bytes': Field(number(1, is_whole=True), _DEFAULT_LOG_BYTES),
        'backups': Field(number(1, is_whole=True), 3),
    },
)
_SECURITY = record(
    {
        'authority': Field(text()),
        'certificate': Field(text()),
        'private_key': Field(text()),
    },
)
_CLUSTER = record(
    {
        'host': Field(text()),
        'bind_host': Field(text(), ''),
        'port': Field(number(1, _HIGHEST_PORT - 1, is_whole=True)),
        'founders': Field(list_of(text())),
        'failures_tolerated': Field(number(0, is_whole=True), 1),
        'may_found': Field(choice('true', 'false'), 'true'),
    },
)
_POOL_SIZES = MappingProxyType(
    {
        name: Field(number(0, is_whole=isinstance(default, int)), default)
        for name, default in PoolPolicy()._asdict().items()
    },
)
_PROCESS = record(
    {
        'name': Field(text()),
        'roles': Field(list_of(choice('entry', 'control'))),
        'data_centre': Field(text()),
        'data_folder': Field(text(), 'var'),
        'callers': Field(
            _PLACE, MappingProxyType({'host': '127.0.0.1', 'port': 0})
        ),
        'readiness': Field(_PLACE, None),
        'operators': Field(_PLACE, None),
        'instances': Field(_PLACE, None),
        'advice': Field(_PLACE, None),
        'metrics': Field(_PLACE, None),
        'controls': Field(list_of(_CONTROL), ()),
        'cluster': Field(_CLUSTER, None),
        'network': Field(choice('open', 'private'), 'open'),
        'security': Field(_SECURITY, None),
        'logs': Field(record(_LOGS), MappingProxyType(get_defaults(_LOGS))),
        'pool_sizes': Field(
            record(_POOL_SIZES),
            MappingProxyType(get_defaults(_POOL_SIZES)),
        ),
    },
)


def load_process_file(path: Path) -> ProcessSettings:
    """Read the settings, or raise ``CheckError`` with all findings."""
    found, source = read_file(path, _PROCESS)
    if not source.findings:
        _check_controls(source, found)
    if source.findings:
        raise CheckError(source.findings)
    return _build(found)


def _check_controls(source: Source, found: Any) -> None:
    if found['cluster'] is not None:
        _check_cluster(source, found)
        return
    names = [control['name'] for control in found['controls']]
    if 'control' in found['roles'] and found['name'] not in names:
        source.report(
            None,
            'conf.E017',
            f'{found["name"]!r} has role control and no address.',
            'List it under controls.',
        )
    # Two replicas of one name would count as one voter here and as two
    # there, and two majorities could form.
    if len(set(names)) < len(names):
        source.report(None, 'conf.E019', 'Two controls have the same name.')
    if not names:
        source.report(None, 'conf.E020', 'No control process is listed.')
    if found['security'] is None:
        _check_loopback(source, found)


def _check_cluster(source: Source, found: Any) -> None:
    if not found['cluster']['founders']:
        source.report(None, 'conf.E020', 'No founder is listed.')
    if found['network'] != 'private' and found['security'] is None:
        source.report(
            None,
            'conf.E021',
            'A cluster is reached from other machines.',
            'Set security, or network: private where nobody else gets in.',
        )


def _check_loopback(source: Source, found: Any) -> None:
    # Without credentials anybody who reaches the port could command the
    # fleet, so that is left open on the own machine only.
    for control in found['controls']:
        hosts = {control['peer']['host'], control['operator']['host']}
        if not all(map(_is_loopback, hosts)):
            source.report(
                None,
                'conf.E021',
                f'{control["name"]!r} is reached from other machines.',
                'Set security, or use a loopback address.',
            )


def _is_loopback(host: str) -> bool:
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return host == 'localhost'


def _build(found: Any) -> ProcessSettings:
    return ProcessSettings(
        name=found['name'],
        roles=found['roles'],
        data_centre=found['data_centre'],
        data_folder=Path(found['data_folder']),
        callers=Address(**found['callers']),
        controls=_build_controls(found),
        logs=LogSettings(**found['logs']),
        security=_build_security(found['security']),
        cluster=_build_cluster(found['cluster']),
        readiness=_build_address(found['readiness']),
        operators=_build_address(found['operators']),
        instances=_build_address(found['instances']),
        advice=_build_address(found['advice']),
        metrics=_build_address(found['metrics']),
        pool_sizes=PoolPolicy(**found['pool_sizes']),
    )


def _build_controls(found: Any) -> tuple[ControlAddress, ...]:
    cluster = found['cluster']
    if cluster is None:
        return tuple(_build_control(one) for one in found['controls'])
    hosts = sorted({_cut_port(founder) for founder in cluster['founders']})
    return tuple(get_control_address(host, cluster['port']) for host in hosts)


def _build_cluster(found: Any) -> Cluster | None:
    if found is None:
        return None
    return Cluster(
        get_control_address(found['host'], found['port']),
        found['failures_tolerated'],
        found['may_found'] == 'true',
        found['bind_host'],
    )


def _build_address(found: Any) -> Address | None:
    return None if found is None else Address(**found)


def _cut_port(founder: str) -> str:
    # A founder may be given as the address of another of its services; all
    # control processes of a cluster listen at the cluster's own port.
    return founder.partition(':')[0]


def get_control_address(host: str, port: int) -> ControlAddress:
    """Give where a control process of a cluster listens, by its host.

    Operators reach it at the next port.
    """
    return ControlAddress(host, Address(host, port), Address(host, port + 1))


def _build_security(found: Any) -> Security | None:
    if found is None:
        return None
    return Security(**{name: Path(path) for name, path in found.items()})


def _build_control(found: Any) -> ControlAddress:
    return ControlAddress(
        found['name'],
        Address(**found['peer']),
        Address(**found['operator']),
    )
