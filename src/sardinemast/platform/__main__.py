"""Run a process for the platform: ``python -m sardinemast.platform``."""

import signal

# SIGHUP asks for a reload of the settings and would end the process while it
# still imports its libraries. Ignoring it loses nothing: the settings are read
# after the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sardinemast.platform._run import main  # noqa: E402

main()
