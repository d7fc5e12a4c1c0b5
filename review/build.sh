#!/bin/bash
# Builds every stand-in that the scripts of the review start. It runs in the root of the repository.
set -e
cd "$(dirname "$0")/standins"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standins .
