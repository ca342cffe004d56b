"""Run the demo by ``python -m sardinemast.demo``."""

import sys

from sardinemast.demo._run import run_demo

run_demo(is_kept='--keep' in sys.argv)
