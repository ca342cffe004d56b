"""Run seeds of the soak: ``python -m soak --seeds=50``, from ``tests``."""

import asyncio
import sys
import tempfile
from pathlib import Path
from random import SystemRandom

import fire

from soak.run import run_seed
from soak.seeds import FAILED
from soak.site import Sizes

_SEEDS_END = 10**9


def soak(
    *seeds: int,
    fresh: int = 0,
    known: bool = False,
    length_s: float = 20,
    controls: int = 5,
    entries: int = 3,
    keep: str = '',
) -> None:
    """Run given seeds, and some new ones; the logs of those that fail stay.

    Args:
        seeds: Seeds to run again.
        fresh: How many new seeds to run.
        known: Run the seeds that ever failed, too.
        length_s: How long faults go on.
        controls: How many control processes there are.
        entries: How many entries there are.
        keep: A folder for logs; without it, one for temporary files.

    """
    drawn = [SystemRandom().randrange(_SEEDS_END) for _ in range(fresh)]
    sizes = Sizes(controls, entries)
    root = Path(keep or tempfile.mkdtemp(prefix='soak-'))
    failed = 0
    for seed in (*seeds, *(FAILED if known else ()), *drawn):
        folder = root / str(seed)
        folder.mkdir(parents=True)
        verdict = asyncio.run(run_seed(seed, length_s, folder, sizes))
        sys.stdout.write(f'{verdict}\n')
        sys.stdout.flush()
        failed += bool(verdict.broken)
    sys.stdout.write(f'{failed} failed; logs are in {root}.\n')
    sys.exit(min(failed, 1))


fire.Fire(soak)
