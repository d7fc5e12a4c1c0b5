#!/bin/bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standins ] && [ -x target/stoatpaddle-entry ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review-standins unreadable review/3
