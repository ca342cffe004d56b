"""Times and limits of the leader's work with workers."""

from typing import NamedTuple


class PoolPolicy(NamedTuple):
    """Say how many workers a pool keeps.

    Until its first peak a pool keeps ``opening_share`` of its usual workers:
    enough for the two seconds that others need to come. In a peak it has room
    for ``rise_factor`` times what is asked for; as long as it lacks less than
    ``short_share`` of its room, tasks that end make that good. It gets at most
    ``most_factor`` times its usual workers. Between peaks it keeps room for
    ``calm_factor`` times what it runs, and ``calm_spare`` workers more. A
    worker that runs nothing for ``idle_s`` may be moved.

    When a peak begins, and right before it is due again, a pool gets room for
    ``expected_factor`` times what the first moments of the last one asked for.
    """

    opening_share: float = 0.5
    rise_factor: float = 1.15
    short_share: float = 0.15
    most_factor: float = 2.0
    calm_factor: float = 2.0
    calm_spare: int = 1
    idle_s: float = 1.0
    expected_factor: float = 1.1


class DispatchSettings(NamedTuple):
    """Set the times; each is bounded by what workers promise.

    ``lease_ms`` is how long a worker's runs go on when it hears nothing: long
    enough to outlast an election of about a second and a lost word or two,
    short enough that a silent worker's tasks start again soon. A worker's
    clock may be slow by ``drift``. A look waits up to ``wait_ms`` for an end,
    or ``watch_ms`` where the tails of serving tasks must be followed.
    ``quiet_s`` is how long a worker may be silent before it gets nothing new;
    idle ones only send announcements, so they have ``idle_quiet_s``.

    A new leader orders nothing for an instance before ``settle_s``, unless the
    log has not named it for as long: until then an order of the one before may
    be under way, and nothing checks its fence. It covers the platform's bound
    for two holders in turn and a freeze between check and send. A worker is
    emptied for ``empty_max_s`` at most, the longest of usual tasks. An instance
    whose successor is not heard after ``upkeep_max_s`` is counted as back, and
    one that refuses and is listed as down for ``lost_after_s`` as lost for
    good: racks were dark for ten seconds. Times of day of two processes differ
    by ``clock_doubt_s`` at most, jumps of both included.
    """

    lease_ms: int = 5000
    drift: float = 0.02
    wait_ms: int = 1000
    watch_ms: int = 300
    answer_s: float = 0.8
    quiet_s: float = 1.9
    idle_quiet_s: float = 3.6
    stop_again_s: float = 0.5
    retry_s: float = 0.25
    retry_max_s: float = 2.0
    forget_s: float = 20.0
    margin_s: float = 0.3
    settle_s: float = 3.8
    clock_doubt_s: float = 4.5
    empty_max_s: float = 3.5
    order_again_s: float = 1.0
    upkeep_max_s: float = 8.0
    lost_after_s: float = 15.0
    pools: PoolPolicy = PoolPolicy()
