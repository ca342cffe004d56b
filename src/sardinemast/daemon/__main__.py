"""Run the daemon by ``python -m sardinemast.daemon``."""

from sardinemast.daemon import main

main()
