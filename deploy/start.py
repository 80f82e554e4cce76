"""Starts one of the platform's programs from a checkout."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'src'))
# The script's own folder would hide the package of the same name.
sys.path = [one for one in sys.path if one != str(ROOT / 'deploy')]

from agatepick.platform import programs  # noqa: E402

if __name__ == '__main__':
    sys.exit(programs.main(sys.argv[1:]))
