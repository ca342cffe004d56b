"""List the benchmarks; each is a module with a ``main``."""

import sys

sys.stdout.write('Run one: python -m bench.NAME\n')
