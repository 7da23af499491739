#!/usr/bin/env bash
# Runs every check of the project except the fault tests with real processes,
# which `make faults` runs. The verdict does not depend on the speed of the
# machine: no check compares a time with a tight limit.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=(./core/... ./node/... ./lab/...)

step() { echo "== $*"; }

fail() {
	echo "check: $*" >&2
	exit 1
}

check_format() {
	local unformatted
	unformatted=$(gofmt -l core node lab)
	[ -z "$unformatted" ] || fail "not formatted: $unformatted"
}

# Paths and hosts of one machine do not belong into tracked files.
check_paths() {
	local found
	found=$(git grep -nIE '(^|[^a-zA-Z0-9_.*-])/(work|root|home)/[a-z]|(proxy|sum)\.golang\.org' -- . || true)
	[ -z "$found" ] || fail "machine path or registry host in tracked files:
$found"
}

check_test_share() {
	local tests all
	all=$(git ls-files -z '*.go' | xargs -0 cat | wc -l)
	tests=$(git ls-files -z '*_test.go' | xargs -0 cat | wc -l)
	echo "tests are $tests of $all lines of Go"
	[ $((tests * 3)) -lt "$all" ] || fail "tests are a third of the lines or more"
}

check_spec() {
	if [ ! -d spec ]; then
		echo "NOT CHECKED: the specification, because spec/ is not there"
		return
	fi
	if ! command -v spin >/dev/null; then
		# A new machine has no package lists yet.
		{ apt-get update -q && apt-get install -y -q --no-install-recommends spin; } || fail "spin is missing and cannot be installed; the specification was not checked"
	fi
	bash spec/check.sh
}

check_examples() {
	local arguments=() file
	for file in examples/*.json; do
		case $file in
		*-agent.json) arguments+=(--agent "$file") ;;
		*-balancer.json) arguments+=(--balancer "$file") ;;
		*) arguments+=(--config "$file") ;;
		esac
	done
	bin/trefoilweir check "${arguments[@]}"
}

make build
step format
check_format
step vet
go vet "${modules[@]}"
step staticcheck
go tool staticcheck "${modules[@]}"
step paths
check_paths
step share of tests
check_test_share
step tests
bash scripts/gotest.sh -short -race "${modules[@]}"
step examples
check_examples
step specification
check_spec
step demo
DEMO_SEED=1 bash lab/demo.sh
echo "all checks passed; make faults runs the fault tests with real processes"
