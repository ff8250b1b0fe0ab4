#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")/../.."
for program in target/release/cardamomtally-platform target/review/standin; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/standin late-order review/5
