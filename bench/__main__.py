"""Run all benchmarks, or those that are named."""

import importlib
import pkgutil
import sys

import bench


def main(names: list[str]) -> None:
    """Run the ``main`` of each benchmark module."""
    found = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    for name in names or sorted(found):
        if name.startswith('_'):
            continue
        sys.stdout.write(f'== {name}\n')
        importlib.import_module(f'bench.{name}').main()


main(sys.argv[1:])
