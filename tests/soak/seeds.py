"""List seeds that failed in the past, each with its cause."""

from types import MappingProxyType

FAILED = MappingProxyType(
    {
        # Failed with length_s=15, controls=5 and entries=3.
        401620025: 'SIGHUP during the start of a process ended the process.',
        34211288: (
            'The check counted successes that a worker reported after its '
            'lease had lapsed, whose tasks may run again.'
        ),
    },
)
