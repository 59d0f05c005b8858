#!/bin/sh
# Nothing to build: the stand-ins (lib/rig.py and the cases) are Python 3 without further packages.
# Checks that they can be read; the gateway comes from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "python3 is missing"; exit 1; }
for file in lib/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
