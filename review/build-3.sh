#!/usr/bin/env bash
# Builds what the scripts of review/REPORT-3.md start beside target/bin/chiveshelfd. The stand-ins are Python, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/chiveshelfd || { echo "review/build-3.sh: the build of the deploy file comes first" >&2; exit 1; }
python3 - review/standins-3/*.py review/1[1-5]/check3.py <<'PYTHON'
import sys
if sys.version_info < (3, 11):
    sys.exit("review/build-3.sh: Python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
