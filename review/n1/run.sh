#!/usr/bin/env bash
# Runs the case and writes what was sent, answered and run to record.txt. It exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. target/chead and bin/stand-3 have to be built.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stand-3 ] && [ -x ../../target/chead ] || exit 2
CASE=slow RECORD=$PWD/record.txt exec ../bin/stand-3
