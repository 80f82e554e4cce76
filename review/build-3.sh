#!/bin/sh
# Checks that the stand-ins of review/9 and following can be run; they need
# nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
import sys

assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'
review = pathlib.Path('review')
paths = [review / 'rig_3.py', *(review / str(n) / 'case.py' for n in range(9, 14))]
for path in filter(pathlib.Path.is_file, paths):
    compile(path.read_text(), str(path), 'exec')
print('the stand-ins and cases compile')
END
