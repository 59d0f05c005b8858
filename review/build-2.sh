#!/bin/sh
# Prepares the stand-ins of the cases 6 to 9, which are Python programs and need no build of their own:
# checks that each of them can be compiled. Run it in any folder, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
for program in lib/*.py lib2/*.py [6-9]/*.py 10/*.py; do
  [ -e "$program" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' \
    "$program"
done
