#!/usr/bin/env bash
# Checks what the scripts of this review start besides hawthorndrum-gateway. The stand-ins are Python
# modules in review/lib3 that need only the standard library, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib3/*.py review/1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
