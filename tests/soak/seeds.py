"""Seeds that have failed once, each with its cause."""

from types import MappingProxyType

FAILED = MappingProxyType(
    {
        # As it was drawn: 15 s, five control processes, three entries.
        401620025: 'A reload signalled while a process was loading ended it.',
    },
)
