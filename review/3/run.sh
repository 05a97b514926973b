#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/honeygap.jar ] && [ -d review/target ] || { echo "build first: deploy file, review/build.sh" >&2; exit 2; }
timeout 110 java -Xmx512m -Dreview.root=. -cp review/target DrainAfterReload 3
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
