#!/bin/sh
# Builds what the scripts of review 2 start beside the programs of the deploy file. Their stand-ins are Python files
# that need no build; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - lib-2/*.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
