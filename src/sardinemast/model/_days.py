"""Predefined days: two of large workers, two of small workers."""

from sardinemast.model._workload import DayPattern, Distribution, QueuePattern

_FILINGS = QueuePattern(
    'filings',
    jobs_per_s=3.2,
    task_duration_s=Distribution(0.8, 0.5),
    step_count=Distribution(1.6, 0.4),
    task_count=Distribution(6, 0.6),
    task_cores=Distribution(0.9, 0.45),
    job_value=0.5,
)
_CLAIMS = QueuePattern(
    'claims',
    jobs_per_s=0.38,
    task_duration_s=Distribution(2.1, 0.5),
    step_count=Distribution(2, 0.4),
    task_count=Distribution(8, 0.6),
    task_cores=Distribution(1.9, 0.45),
    job_value=4.7,
)

_BOOKINGS = QueuePattern(
    'bookings',
    jobs_per_s=13,
    task_duration_s=Distribution(0.64, 0.5),
    step_count=Distribution(1.6, 0.4),
    task_count=Distribution(8, 0.6),
    task_cores=Distribution(9, 0.45),
    task_memory_mib=Distribution(13_000, 0.6),
    job_value=0.4,
    long_running_count=24,
    long_running_cores=9.6,
    long_running_memory_mib=44_000,
    long_running_max_unavailable=3,
    best_effort_count=3,
    worker_count=48,
)
_PRICINGS = _BOOKINGS._replace(
    name='pricings',
    jobs_per_s=2.9,
    task_duration_s=Distribution(1.3, 0.5),
    step_count=Distribution(2, 0.4),
    task_cores=Distribution(20, 0.45),
    task_memory_mib=Distribution(36_000, 0.6),
    job_value=2.2,
    worker_count=54,
)

# Course enrolments on workers of 64 cores: square peaks, each shorter than
# two instance moves, and long-running tasks that need much memory.
ENROLMENT_DAY = DayPattern(
    (
        _BOOKINGS,
        _PRICINGS,
        _BOOKINGS._replace(name='trials', jobs_per_s=16, worker_count=60),
        _PRICINGS._replace(name='enrolments', jobs_per_s=3.5, worker_count=66),
    ),
    peak_interval_s=4.5,
    peak_duration_s=4.5,
    has_square_peaks=True,
    standby_count=44,
    workers_per_rack=12,
    worker_cores=64,
    worker_memory_mib=131_072,
)

_SHORT_BOOKINGS = QueuePattern(
    'bookings',
    jobs_per_s=12.4,
    task_duration_s=Distribution(1, 0.5),
    step_count=Distribution(1.6, 0.4),
    task_count=Distribution(8, 0.6),
    task_cores=Distribution(1.4, 0.45),
    task_memory_mib=Distribution(2000, 0.6),
    job_value=0.37,
    long_running_count=24,
    long_running_cores=2.1,
    long_running_memory_mib=7000,
    long_running_max_unavailable=4,
    worker_count=32,
)
_WIDE_PRICINGS = _SHORT_BOOKINGS._replace(
    name='pricings',
    jobs_per_s=3.88,
    task_duration_s=Distribution(1.3, 0.5),
    step_count=Distribution(2, 0.4),
    task_cores=Distribution(3.1, 0.45),
    task_memory_mib=Distribution(3200, 0.6),
    job_value=1.34,
    estimate_variation=0.2,
    worker_count=36,
)

# Course enrolments on workers of 16 cores: square peaks as above, with longer
# bookings and more jobs of two wide steps.
WIDE_STEPS_DAY = DayPattern(
    (
        _SHORT_BOOKINGS,
        _WIDE_PRICINGS,
        _SHORT_BOOKINGS._replace(
            name='trials', jobs_per_s=15.5, worker_count=40
        ),
        _WIDE_PRICINGS._replace(
            name='enrolments', jobs_per_s=4.75, worker_count=44
        ),
    ),
    peak_interval_s=4.5,
    peak_duration_s=4.5,
    has_square_peaks=True,
    standby_count=28,
    workers_per_rack=8,
    worker_memory_mib=32_768,
)

# Peaks of five times the declared rate, in place of four in a cycle of four.
_PEAK_SCALE = 1.25
_LOOKUPS = QueuePattern(
    'lookups',
    jobs_per_s=9.0 * _PEAK_SCALE,
    task_duration_s=Distribution(0.8, 0.5),
    step_count=Distribution(1.6, 0.4),
    task_count=Distribution(8, 0.6),
    task_cores=Distribution(6.2, 0.45),
    task_memory_mib=Distribution(13_000, 0.6),
    job_value=0.4,
    long_running_count=24,
    long_running_cores=8.8,
    long_running_memory_mib=61_000,
    long_running_max_unavailable=3,
    worker_count=32,
)
_RESERVATIONS = _LOOKUPS._replace(
    name='reservations',
    jobs_per_s=1.8 * _PEAK_SCALE,
    task_duration_s=Distribution(1.7, 0.5),
    step_count=Distribution(2, 0.4),
    task_cores=Distribution(13, 0.45),
    task_memory_mib=Distribution(38_000, 0.6),
    job_value=2.2,
    worker_count=36,
)

# Lookups and reservations of 20 teams on workers of 64 cores, with teams that
# submit several times their usual load.
CONTENTION_DAY = DayPattern(
    (
        _LOOKUPS,
        _RESERVATIONS,
        _LOOKUPS._replace(
            name='checks', jobs_per_s=11.2 * _PEAK_SCALE, worker_count=39
        ),
        _RESERVATIONS._replace(
            name='exchanges', jobs_per_s=2.2 * _PEAK_SCALE, worker_count=43
        ),
    ),
    peak_interval_s=4.5,
    peak_duration_s=4.5,
    has_square_peaks=True,
    standby_count=29,
    workers_per_rack=8,
    worker_cores=64,
    worker_memory_mib=262_144,
    # The sum is about the number of jobs per second of all queues.
    team_weights=(
        *(4.0, 3.2, 2.6, 2.1, 1.7, 1.4, 1.2, 1.0, 0.9, 0.8),
        *(0.7, 0.6, 0.6, 0.5, 0.5, 0.4, 0.4, 0.3, 0.3, 0.2),
    ),
    team_rate_factor=1,
    has_random_bursts=True,
)

_PAIRINGS = QueuePattern(
    'pairings',
    jobs_per_s=11.2,
    task_duration_s=Distribution(0.54, 0.5),
    step_count=Distribution(1.6, 0.4),
    task_count=Distribution(8, 0.6),
    task_cores=Distribution(6.2, 0.45),
    task_memory_mib=Distribution(11_000, 0.6),
    job_value=0.4,
    long_running_count=24,
    long_running_cores=8,
    long_running_memory_mib=17_000,
    long_running_max_unavailable=3,
    worker_count=32,
)
_SEATINGS = _PAIRINGS._replace(
    name='seatings',
    jobs_per_s=2.4,
    task_duration_s=Distribution(1.1, 0.5),
    step_count=Distribution(2, 0.4),
    task_cores=Distribution(13, 0.45),
    task_memory_mib=Distribution(25_000, 0.6),
    job_value=2.2,
    worker_count=36,
    priority=1,
)

# Seat allocation on workers of 64 cores: square peaks of short pairings and
# of longer seatings, each beside long-running tasks of moderate memory.
PAIRINGS_DAY = DayPattern(
    (
        _PAIRINGS,
        _SEATINGS,
        _PAIRINGS._replace(name='rematches', jobs_per_s=14, worker_count=39),
        _SEATINGS._replace(name='finals', jobs_per_s=2.9, worker_count=43),
    ),
    peak_interval_s=4.5,
    peak_duration_s=4.5,
    has_square_peaks=True,
    standby_count=29,
    workers_per_rack=12,
    worker_cores=64,
    worker_memory_mib=131_072,
)

# Warranty registry on workers of 16 cores: queues of many short jobs alternate
# with queues of a few long ones.
REGISTRY_DAY = DayPattern(
    (
        _FILINGS,
        _CLAIMS,
        _FILINGS._replace(name='lookups', jobs_per_s=3.9),
        _CLAIMS._replace(name='audits', jobs_per_s=0.46),
    ),
)
