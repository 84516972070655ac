#!/bin/sh
cd "$(dirname "$0")" || exit 2
# Without the builds, the case can't run.
[ -f ../../target/bin/jackdawreel-controller-packed.cjs ] || exit 2
node --input-type=module -e "await import('../support-3/Cell.mjs')" || exit 2
exec node Case.mjs
