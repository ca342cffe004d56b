"""Run the fault soak from ``tests``: ``python -m soak --fresh=50``."""

import asyncio
import sys
import tempfile
from pathlib import Path
from random import SystemRandom

import fire

from soak.run import Durations, run_seed
from soak.seeds import FAILED
from soak.site import Sizes

_SEEDS_END = 10**9
# Long enough to see that stopped long-running tasks run again.
_CALM_S = 12.0


def soak(
    *seeds: int,
    fresh: int = 0,
    known: bool = False,
    length_s: float = 20,
    controls: int = 5,
    entries: int = 3,
    keep: str = '',
) -> None:
    """Run the soak with given, known and fresh seeds, and print verdicts.

    Args:
        seeds: Seeds to run.
        fresh: Number of random seeds to run in addition.
        known: Whether to run the seeds that failed in the past, too.
        length_s: Time during which faults begin, in seconds.
        controls: Number of control processes.
        entries: Number of entries.
        keep: Folder for logs and data; by default a new temporary one.

    """
    drawn = [SystemRandom().randrange(_SEEDS_END) for _ in range(fresh)]
    sizes = Sizes(controls, entries)
    durations = Durations(length_s, _CALM_S)
    root = Path(keep or tempfile.mkdtemp(prefix='soak-'))
    failed = 0
    for seed in (*seeds, *(FAILED if known else ()), *drawn):
        folder = root / str(seed)
        folder.mkdir(parents=True)
        verdict = asyncio.run(run_seed(seed, durations, folder, sizes))
        sys.stdout.write(f'{verdict}\n')
        sys.stdout.flush()
        failed += bool(verdict.broken)
    sys.stdout.write(f'{failed} failed; logs are in {root}.\n')
    sys.exit(min(failed, 1))


fire.Fire(soak)
