"""Run the daemon: ``python -m sardinemast.daemon``."""

from sardinemast.daemon import main

main()
