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
paths = [review / 'rig_3.py', *sorted(review.glob('*/case.py'))]
for path in paths:
    compile(path.read_text(), str(path), 'exec')
print(f'{len(paths)} stand-ins and cases compile')
END
