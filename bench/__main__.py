"""Run all benchmarks, or those named on the command line."""

import importlib
import pkgutil
import sys

import bench


def main(names: list[str]) -> None:
    """Call ``main`` of the named benchmark modules, or of all."""
    available = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    for name in names or sorted(available):
        if name.startswith('_'):
            continue
        sys.stdout.write(f'== {name}\n')
        importlib.import_module(f'bench.{name}').main()


main(sys.argv[1:])
