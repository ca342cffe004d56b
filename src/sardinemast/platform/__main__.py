"""Run one process on the platform by ``python -m sardinemast.platform``."""

from sardinemast.platform._run import main

main()
