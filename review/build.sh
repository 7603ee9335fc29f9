#!/bin/sh
# Builds the stand-ins: they are Python of the standard library, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.py */case.py known/*/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
