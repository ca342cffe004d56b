"""Replicated state and its snapshots."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from sardinemast.fleet._diff import DocumentChange, DocumentFinding
from sardinemast.fleet._documents import EMPTY_DOCUMENT, FleetDocument
from sardinemast.jobs import EMPTY_IMAGE as EMPTY_JOBS
from sardinemast.jobs import JobsImage, JobsState
from sardinemast.jobs import dump_state as dump_jobs
from sardinemast.jobs import load_state as load_jobs
from sardinemast.maintenance import EMPTY_IMAGE as EMPTY_MAINTENANCE
from sardinemast.maintenance import MaintenanceImage, MaintenanceState
from sardinemast.maintenance import dump_state as dump_maintenance
from sardinemast.maintenance import load_state as load_maintenance
from sardinemast.placement import EMPTY_IMAGE as EMPTY_PLACEMENT
from sardinemast.placement import PlacementImage, PlacementState
from sardinemast.placement import dump_state as dump_placement
from sardinemast.placement import load_state as load_placement


class KeyRecord(NamedTuple):
    """Hold the digest of a team's key; the key itself is not stored."""

    key_id: str
    team: str
    digest: bytes

    def __repr__(self) -> str:
        """Omit the digest, to keep it out of logs and errors."""
        return f'KeyRecord({self.key_id!r}, {self.team!r})'


class Instance(NamedTuple):
    """Hold an instance and the pool that entries route it by."""

    name: str
    pool: str


class EntryProcess(NamedTuple):
    """Hold a registered entry process.

    ``former`` are earlier incarnations whose lease may not have expired yet.
    Other entries reach the process at ``host`` and ``port``. ``log_index`` is
    the index of its registration.
    """

    name: str
    incarnation: int
    former: tuple[int, ...] = ()
    host: str = ''
    port: int = 0
    log_index: int = 0


class Grant(NamedTuple):
    """Hold how many requests of a team an entry incarnation may run.

    ``log_index`` is the index of the last change; messages of the entry about
    an older amount are stale.
    """

    entry: str
    incarnation: int
    team: str
    amount: int
    log_index: int


class Outcome(NamedTuple):
    """Hold the result of a command; a resend gets the same result.

    ``changes`` lists what has changed since the version that a refused
    document was based on, ``findings`` the errors of a document.
    """

    is_accepted: bool
    version: int
    code: str = ''
    text: str = ''
    changes: tuple[DocumentChange, ...] = ()
    findings: tuple[DocumentFinding, ...] = ()


class RecentCommand(NamedTuple):
    """Hold the digest and the outcome of an applied command, by its id.

    ``applied_s`` is the log's wall time when the command was applied.
    """

    command_id: str
    digest: bytes
    outcome: Outcome
    applied_s: float = 0


class VersionRecord(NamedTuple):
    """Hold an accepted version of the document."""

    version: int
    accepted_s: float
    command_id: str
    document: FleetDocument


class FleetImage(NamedTuple):
    """Hold the whole state, for snapshots and the streams to entries."""

    log_index: int
    version: int
    document: FleetDocument
    keys: tuple[KeyRecord, ...]
    instances: tuple[Instance, ...]
    entries: tuple[EntryProcess, ...]
    grants: tuple[Grant, ...]
    recent_commands: tuple[RecentCommand, ...]
    history: tuple[VersionRecord, ...] = ()
    wall_s: float = 0
    granted_totals: Mapping[str, int] = MappingProxyType({})
    idempotency_entries: tuple[EntryProcess, ...] = ()
    maintenance: MaintenanceImage = EMPTY_MAINTENANCE
    placement: PlacementImage = EMPTY_PLACEMENT
    jobs: JobsImage = EMPTY_JOBS


class SubsystemStates(NamedTuple):
    """Hold the states of the subsystems that share the fleet's log."""

    maintenance: MaintenanceState
    placement: PlacementState
    jobs: JobsState


class FleetState:
    """Hold the replicated state at one log index.

    ``idempotency_entries`` maps a name to the latest registration of each
    entry that was ever registered. The holders of an idempotency key are
    chosen among them. Retired entries stay: otherwise two entries could choose
    different holders in one epoch, and a resent request could run twice.

    ``granted_totals`` is the sum of all grants of each team. Entries have
    these sums but only their own grants.

    ``wall_s`` is the latest wall time recorded in the log.
    """

    def __init__(self) -> None:
        self.log_index = 0
        self.version = 0
        self.wall_s: float = 0
        self.document: FleetDocument = EMPTY_DOCUMENT
        self.keys_by_id: dict[str, KeyRecord] = {}
        self.keys_by_digest: dict[bytes, KeyRecord] = {}
        self.instances: dict[str, Instance] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.idempotency_entries: dict[str, EntryProcess] = {}
        self.grants: dict[tuple[str, int, str], Grant] = {}
        self.granted_totals: dict[str, int] = {}
        self.recent_commands: dict[str, RecentCommand] = {}
        self.history: dict[int, VersionRecord] = {}
        self.subsystems = SubsystemStates(
            MaintenanceState(),
            PlacementState(),
            JobsState(),
        )

    @property
    def data_centres(self) -> set[str]:
        """Return the declared sites and what else ever had a worker."""
        known = self.subsystems.jobs.data_centres.known
        return {*self.document.sites, *known}


def dump_state(state: FleetState) -> FleetImage:
    """Return a snapshot of the state."""
    return FleetImage(
        state.log_index,
        state.version,
        state.document,
        tuple(state.keys_by_id.values()),
        tuple(state.instances.values()),
        tuple(state.entries.values()),
        tuple(state.grants.values()),
        tuple(state.recent_commands.values()),
        tuple(state.history.values()),
        state.wall_s,
        dict(state.granted_totals),
        tuple(state.idempotency_entries.values()),
        dump_maintenance(state.subsystems.maintenance),
        dump_placement(state.subsystems.placement),
        dump_jobs(state.subsystems.jobs),
    )


def load_state(image: FleetImage) -> FleetState:
    """Restore a state from a snapshot."""
    state = FleetState()
    state.log_index = image.log_index
    state.version = image.version
    state.wall_s = image.wall_s
    state.document = image.document
    state.keys_by_id = {key.key_id: key for key in image.keys}
    state.keys_by_digest = {key.digest: key for key in image.keys}
    state.instances = {one.name: one for one in image.instances}
    state.entries = {one.name: one for one in image.entries}
    state.grants = {
        (grant.entry, grant.incarnation, grant.team): grant
        for grant in image.grants
    }
    state.recent_commands = {
        one.command_id: one for one in image.recent_commands
    }
    state.history = {one.version: one for one in image.history}
    state.granted_totals = dict(image.granted_totals)
    state.idempotency_entries = {
        one.name: one for one in image.idempotency_entries
    }
    state.subsystems = SubsystemStates(
        load_maintenance(image.maintenance),
        load_placement(image.placement),
        load_jobs(image.jobs),
    )
    return state
