#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. They use
# the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin2 .
