#!/bin/sh
# Builds the stand-ins of the third review: Python modules that need the standard
# library alone (3.11 or newer).
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q lib3
