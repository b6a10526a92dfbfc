#!/usr/bin/env bash
# Builds the stand-ins of the cases: plain Python, so that only the syntax is
# checked, outside the repository. The cases start no other stand-in.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || {
  echo 'target/deps is missing: run the build of the deploy file first' >&2
  exit 2
}
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('built', path)
PY
