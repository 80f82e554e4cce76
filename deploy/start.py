"""Launcher of the platform's programs from a checkout."""

import gc
import os
import signal
import sys

# A SIGHUP ends a process that has no handler, and the handler comes with the
# event loop.  The settings are read after this line, and a change after that
# is noticed without a signal.  SIGTERM still ends the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

DEPLOY = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(DEPLOY), 'src'))
# The script's own folder would shadow the package of the same name.
sys.path = [one for one in sys.path if one != DEPLOY]

# Imported modules stay alive, so garbage collections between imports free
# nothing; they took a tenth of a restarted program's time until it serves.
gc.disable()
from agatepick.platform import programs  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == '__main__':
    sys.exit(programs.main(sys.argv[1:]))
