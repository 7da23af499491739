#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They use the standard library
# only, so the build needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
