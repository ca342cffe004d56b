"""Run one process on the platform by ``python -m sardinemast.platform``."""

import signal

# The libraries take some tenths of a second to load. A word that the settings
# have changed would end the process meanwhile, as a signal that nobody takes
# does; the settings are read after this, so that nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sardinemast.platform._run import main  # noqa: E402

main()
