#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -f target/honeygap.jar ] && [ -f target/review-2/DrainedFlagServer.class ] || exit 2
exec java -cp target/review-2 DrainedFlagServer "$here"
