"""Days of customers that the product serves today."""

from sardinemast.model._patterns import DayPattern, QueuePattern, Sizes

_FILINGS = QueuePattern(
    'filings',
    jobs_per_s=3.2,
    run_s=Sizes(0.8, 0.5),
    step_count=Sizes(1.6, 0.4),
    task_count=Sizes(6, 0.6),
    cores=Sizes(0.9, 0.45),
    worth=0.5,
)
_CLAIMS = QueuePattern(
    'claims',
    jobs_per_s=0.38,
    run_s=Sizes(2.1, 0.5),
    step_count=Sizes(2, 0.4),
    task_count=Sizes(8, 0.6),
    cores=Sizes(1.9, 0.45),
    worth=4.7,
)

_BOOKINGS = QueuePattern(
    'bookings',
    jobs_per_s=13,
    run_s=Sizes(0.64, 0.5),
    step_count=Sizes(1.6, 0.4),
    task_count=Sizes(8, 0.6),
    cores=Sizes(9, 0.45),
    memory_mib=Sizes(13_000, 0.6),
    worth=0.4,
    lasting=24,
    lasting_cores=9.6,
    lasting_mib=44_000,
    lasting_missing=3,
    fillers=3,
    workers=48,
)
_PRICINGS = _BOOKINGS._replace(
    name='pricings',
    jobs_per_s=2.9,
    run_s=Sizes(1.3, 0.5),
    step_count=Sizes(2, 0.4),
    cores=Sizes(20, 0.45),
    memory_mib=Sizes(36_000, 0.6),
    worth=2.2,
    workers=54,
)

# Course enrolments on large workers: steep peaks, shorter than it takes to
# bring an instance in twice, and serving tasks that fill workers by memory.
ENROLMENT_DAY = DayPattern(
    (
        _BOOKINGS,
        _PRICINGS,
        _BOOKINGS._replace(name='trials', jobs_per_s=16, workers=60),
        _PRICINGS._replace(name='enrolments', jobs_per_s=3.5, workers=66),
    ),
    turn_s=4.5,
    peak_s=4.5,
    is_steep=True,
    standby=44,
    workers_a_rack=12,
    worker_cores=64,
    worker_memory_mib=131_072,
)

# A registry of warranties: short jobs of many callers and long ones of few, by
# turns, on workers of 16 cores.
REGISTRY_DAY = DayPattern(
    (
        _FILINGS,
        _CLAIMS,
        _FILINGS._replace(name='lookups', jobs_per_s=3.9),
        _CLAIMS._replace(name='audits', jobs_per_s=0.46),
    ),
)
