#!/bin/sh
# Checks the stand-ins of the cases 4 to 8.  They use the standard library
# alone, so there is nothing to build; the project's programs come from the
# build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path('review').glob('[4-8]/case.py')) + [pathlib.Path('review/rig.py')]:
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PY
