#!/usr/bin/env bash
# Makes the stand-ins of the scripts of review 2 ready. They are Python programs of the standard library; nothing is installed.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.9 or later is needed") if sys.version_info < (3, 9) else None'
for file in standins-2/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
