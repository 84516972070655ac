#!/bin/bash
# Builds what the cases start: the packed controller in target/, and the project's stand-ins in dist/.
cd "$(dirname "$0")/.." || exit 1
[ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
npm run build --silent && npm run pack --silent
