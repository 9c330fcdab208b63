#!/usr/bin/env bash
# All daemons restart at once and find one another in two groups only.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/release/cardamomshed ] && [ -x target/review/standin ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/standin split "$folder"
