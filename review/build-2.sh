#!/bin/sh
# Builds what the scripts of review/4 to review/6 start beside the controller: the project's stand-ins, in dist/. The build of the deploy file
# comes before it and installs the packages.
set -e
cd "$(dirname "$0")/.."
npm run build --silent
