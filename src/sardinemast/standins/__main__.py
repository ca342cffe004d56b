"""Run a stand-in by ``python -m sardinemast.standins``."""

import fire

from sardinemast.standins.upstream import run_upstream

fire.Fire({'upstream': run_upstream}, name='standins')
