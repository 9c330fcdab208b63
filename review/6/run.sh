#!/bin/sh
# TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-case
[ -x "$program" ] && [ -x target/release/cardamomshed ] || exit 2
exec "$program" departure review/6
