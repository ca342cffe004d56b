"""Run the demo by ``python -m sardinemast.demo``."""

import sys

from sardinemast.demo._run import run_demo

run_demo(keeps_running='--keep' in sys.argv)
