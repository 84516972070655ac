#!/bin/sh
# Builds the project's own stand-ins into dist/, for the scripts of the cases 9 to 13. It needs the installed packages, and no network.
set -e
cd "$(dirname "$0")/.."
npm run build --silent
