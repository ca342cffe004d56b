"""Run the command line by ``python -m sardinemast.cli``."""

from sardinemast.cli import main

main()
