#!/usr/bin/env bash
# Builds the stand-in that the scripts of the third review start. It uses the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/standin3"
mkdir -p ../../target/review-3
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3/standin3 .
