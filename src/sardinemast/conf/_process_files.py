"""Settings of a process."""

from ipaddress import ip_address
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

from sardinemast.checks import CheckError
from sardinemast.conf._fields import (
    Field,
    SettingsFile,
    choice,
    get_defaults,
    host_and_port,
    list_of,
    number,
    record,
    text,
)
from sardinemast.conf._files import read_file
from sardinemast.conf._policies import build_policies, make_policy_fields
from sardinemast.dispatch import (
    AdmissionPolicy,
    FailureDomainPolicy,
    LearningPolicy,
    LeasePolicy,
    PoolPolicy,
    PreemptionPolicy,
    TeamShares,
)

_MAX_PORT = 65535
_port = number(0, _MAX_PORT, is_whole=True)


class Address(NamedTuple):
    """Hold a host and a port."""

    host: str
    port: int


class ControlAddress(NamedTuple):
    """Hold the name of a control process and its addresses."""

    name: str
    peer: Address
    operator: Address


class LogSettings(NamedTuple):
    """Configure logs; without a file, text goes to stderr, JSON to stdout."""

    level: str
    format: str
    file: str
    max_bytes: int
    backups: int


class Security(NamedTuple):
    """Hold the PEM files for mutual TLS of processes and operators."""

    authority: Path
    certificate: Path
    private_key: Path


class Cluster(NamedTuple):
    """Configure how a control process bootstraps or joins a cluster.

    The founders bootstrap the cluster; other processes ask them to join.
    ``failures_tolerated`` is the number of replicas that may be lost at once.
    Without ``may_found``, a process with an empty data folder may only join.
    Others connect to ``own``. With network address translation, the process
    listens at ``bind_host`` and connects from there.
    """

    own: ControlAddress
    failures_tolerated: int
    may_found: bool
    bind_host: str = ''

    @property
    def listen_address(self) -> ControlAddress:
        """Return the local addresses that this process listens at."""
        if not self.bind_host:
            return self.own
        return get_control_address(self.bind_host, self.own.peer.port)


class ProcessSettings(NamedTuple):
    """Hold the settings of a process.

    With a ``cluster``, ``controls`` are its founders. The process listens at
    ``readiness`` for the load balancer's probes, at ``operators`` for
    requests of the platform and at ``metrics`` for scrapes. It connects to
    the instance service at ``instances`` and to the external policy service
    at ``advice``. The other fields are policies of a leader's dispatcher.
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
    team_shares: TeamShares = TeamShares()
    learning: LearningPolicy = LearningPolicy()
    failure_domains: FailureDomainPolicy = FailureDomainPolicy()
    preemption: PreemptionPolicy = PreemptionPolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
    worker_leases: LeasePolicy = LeasePolicy()


_ADDRESS = record({'host': Field(text(), '127.0.0.1'), 'port': Field(_port)})
_HOST_AND_PORT = host_and_port(_ADDRESS)
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
        'port': Field(number(1, _MAX_PORT - 1, is_whole=True)),
        'founders': Field(list_of(text())),
        'failures_tolerated': Field(number(0, is_whole=True), 1),
        'may_found': Field(choice('true', 'false'), 'true'),
    },
)
_PROCESS = record(
    {
        'name': Field(text()),
        'roles': Field(list_of(choice('entry', 'control'))),
        'data_centre': Field(text()),
        'data_folder': Field(text(), 'var'),
        'callers': Field(
            _HOST_AND_PORT, MappingProxyType({'host': '127.0.0.1', 'port': 0})
        ),
        'readiness': Field(_HOST_AND_PORT, None),
        'operators': Field(_HOST_AND_PORT, None),
        'instances': Field(_HOST_AND_PORT, None),
        'advice': Field(_HOST_AND_PORT, None),
        'metrics': Field(_HOST_AND_PORT, None),
        'controls': Field(list_of(_CONTROL), ()),
        'cluster': Field(_CLUSTER, None),
        'network': Field(choice('open', 'private'), 'open'),
        'security': Field(_SECURITY, None),
        'logs': Field(record(_LOGS), MappingProxyType(get_defaults(_LOGS))),
        **make_policy_fields(),
    },
)


def load_process_file(path: Path) -> ProcessSettings:
    """Read the settings, or raise ``CheckError`` with all findings."""
    parsed, file = read_file(path, _PROCESS)
    if not file.findings:
        _check_controls(file, parsed)
    if file.findings:
        raise CheckError(file.findings)
    return _build(parsed)


def _check_controls(file: SettingsFile, parsed: Any) -> None:
    if parsed['cluster'] is not None:
        _check_cluster(file, parsed)
        return
    names = [control['name'] for control in parsed['controls']]
    if 'control' in parsed['roles'] and parsed['name'] not in names:
        file.report(
            None,
            'conf.E017',
            f'{parsed["name"]!r} has the role control but no address.',
            'Add it to controls.',
        )
    # Two replicas of one name could be counted as one voter or as two, which
    # would allow two majorities.
    if len(set(names)) < len(names):
        file.report(None, 'conf.E019', 'The names of controls are not unique.')
    if not names:
        file.report(None, 'conf.E020', 'controls is empty.')
    if parsed['security'] is None:
        _check_loopback(file, parsed)


def _check_cluster(file: SettingsFile, parsed: Any) -> None:
    if not parsed['cluster']['founders']:
        file.report(None, 'conf.E020', 'founders is empty.')
    if parsed['network'] != 'private' and parsed['security'] is None:
        file.report(
            None,
            'conf.E021',
            'A cluster is reachable from other instances.',
            'Set security, or network: private if access is restricted.',
        )


def _check_loopback(file: SettingsFile, parsed: Any) -> None:
    # Without credentials, anybody who can connect to the port can command the
    # fleet, so only loopback addresses may be used.
    for control in parsed['controls']:
        hosts = {control['peer']['host'], control['operator']['host']}
        if not all(map(_is_loopback, hosts)):
            file.report(
                None,
                'conf.E021',
                f'{control["name"]!r} is reachable from other instances.',
                'Set security, or use a loopback address.',
            )


def _is_loopback(host: str) -> bool:
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return host == 'localhost'


def _build(parsed: Any) -> ProcessSettings:
    return ProcessSettings(
        name=parsed['name'],
        roles=parsed['roles'],
        data_centre=parsed['data_centre'],
        data_folder=Path(parsed['data_folder']),
        callers=Address(**parsed['callers']),
        controls=_build_controls(parsed),
        logs=LogSettings(**parsed['logs']),
        security=_build_security(parsed['security']),
        cluster=_build_cluster(parsed['cluster']),
        readiness=_build_address(parsed['readiness']),
        operators=_build_address(parsed['operators']),
        instances=_build_address(parsed['instances']),
        advice=_build_address(parsed['advice']),
        metrics=_build_address(parsed['metrics']),
        **build_policies(parsed),
    )


def _build_controls(parsed: Any) -> tuple[ControlAddress, ...]:
    cluster = parsed['cluster']
    if cluster is None:
        return tuple(_build_control(control) for control in parsed['controls'])
    hosts = sorted({_strip_port(founder) for founder in cluster['founders']})
    return tuple(get_control_address(host, cluster['port']) for host in hosts)


def _build_preemption(parsed: Any) -> PreemptionPolicy:
    return PreemptionPolicy(
        parsed['enabled'] == 'true',
        parsed['wait_s'],
        parsed['max_per_task'],
    )


def _build_cluster(parsed: Any) -> Cluster | None:
    if parsed is None:
        return None
    return Cluster(
        get_control_address(parsed['host'], parsed['port']),
        parsed['failures_tolerated'],
        parsed['may_found'] == 'true',
        parsed['bind_host'],
    )


def _build_address(parsed: Any) -> Address | None:
    return None if parsed is None else Address(**parsed)


def _strip_port(founder: str) -> str:
    # A founder may be listed with the port of another service; all control
    # processes of a cluster listen at the cluster's port.
    return founder.partition(':')[0]


def get_control_address(host: str, port: int) -> ControlAddress:
    """Return the addresses of a control process in a cluster.

    Peers connect to ``port`` and operators to the next port.
    """
    return ControlAddress(host, Address(host, port), Address(host, port + 1))


def _build_security(parsed: Any) -> Security | None:
    if parsed is None:
        return None
    return Security(**{name: Path(path) for name, path in parsed.items()})


def _build_control(parsed: Any) -> ControlAddress:
    return ControlAddress(
        parsed['name'],
        Address(**parsed['peer']),
        Address(**parsed['operator']),
    )
