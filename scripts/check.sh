#!/usr/bin/env bash
# Runs every check of the project. The verdict does not depend on the speed of
# the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
modules="./core/... ./node/... ./lab/..."

unformatted=$(gofmt -l core node lab)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted"
	exit 1
fi
go vet $modules
go tool staticcheck $modules
go test -race $modules
