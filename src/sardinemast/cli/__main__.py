"""Run the command line: ``python -m sardinemast.cli``."""

from sardinemast.cli import main

main()
