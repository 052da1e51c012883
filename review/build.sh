#!/bin/sh
# The stand-ins are Python files of the standard library alone: nothing is compiled.
# The project's own programs come from the build of the deploy file (target/deps).
set -e
cd "$(dirname "$0")/.."
test -f target/deps/chervilstall/commands/edge.py || {
    echo "build the deploy file first" >&2
    exit 1
}
python3 -B - <<'PYTHON'
import ast, pathlib
for path in [*pathlib.Path("review").glob("*/*.py")]:
    ast.parse(path.read_text(), str(path))
PYTHON
