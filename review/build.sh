#!/bin/sh
# The stand-ins of the cases are Python sources in lib/; they are checked here and need no build.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 - <<'CHECK'
import ast, glob
for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
    print("checked", path)
CHECK
