#!/bin/sh
# The stand-ins of the second review are Python files of the standard library alone:
# nothing is compiled. The project's own program comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -f target/deps/chervilstall/commands/edge.py || {
    echo "build the deploy file first" >&2
    exit 1
}
python3 -B - <<'PYTHON'
import ast, pathlib
names = ["6", "7", "8", "9", "10", "lib2"]
for path in [path for name in names for path in pathlib.Path("review", name).glob("*.py")]:
    ast.parse(path.read_text(), str(path))
PYTHON
