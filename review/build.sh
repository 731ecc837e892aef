#!/usr/bin/env bash
# Prepares the stand-ins of the review's scripts. They are Python programs, which
# need the standard library of Python 3.11 or later only (scripts/setup lists
# python3); they are compiled here to see that they can be.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)'
python3 - lib/*.py */case.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
