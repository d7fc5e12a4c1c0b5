#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review2
go build -o ../../target/review2/scenario .
