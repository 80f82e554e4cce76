"""Launcher of the platform's programs from a checkout."""

import gc
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'src'))
# The script's own folder would shadow the package of the same name.
sys.path = [one for one in sys.path if one != str(ROOT / 'deploy')]

# Imported modules stay alive, so garbage collections between imports free
# nothing; they took a tenth of a restarted program's time until it serves.
gc.disable()
from agatepick.platform import programs  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == '__main__':
    sys.exit(programs.main(sys.argv[1:]))
