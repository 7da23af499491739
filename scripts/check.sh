#!/usr/bin/env bash
# Runs every check of the project except the fault tests with real processes,
# which `make faults` runs. The result does not depend on the speed of the
# machine: no check compares a duration with a tight limit.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=(./core/... ./node/... ./lab/... ./platform/...)

step() { echo "== $*"; }

fail() {
	echo "check: $*" >&2
	exit 1
}

check_format() {
	local unformatted
	unformatted=$(gofmt -l core node lab platform)
	[ -z "$unformatted" ] || fail "not formatted: $unformatted"
}

# Tracked files must not contain paths of a developer's machine or registry hosts.
check_paths() {
	local found
	found=$(git grep -nIE '(^|[^a-zA-Z0-9_.*-])/(work|root|home)/[a-z]|(proxy|sum)\.golang\.org' -- . || true)
	[ -z "$found" ] || fail "machine path or registry host in tracked files:
$found"
}

# The soak test (lab/soak) counts as code, not as a test, and must stay below a
# tenth of it.
check_soak_share() {
	local soak all
	all=$(git ls-files -z '*.go' | grep -zv '_test\.go$' | xargs -0 cat | wc -l)
	soak=$(git ls-files -z 'lab/soak/*.go' | xargs -0 cat | wc -l)
	echo "the soak test has $soak of $all lines of Go outside tests"
	[ $((soak * 10)) -lt "$all" ] || fail "the soak test is a tenth of the Go code or more"
}

# Only platform/ and the platform's test double in lab/ may use the names of the
# users' platform.
check_platform_names() {
	local found
	found=$(git ls-files 'core/*.go' 'node/*.go' | xargs grep -nE 'kv-(key|range|watch)|datagram-addr|X-Trefoilweir-|heartbeat-ms|TREFOILWEIR_BOOT' || true)
	[ -z "$found" ] || fail "names of the users' platform in core/ or node/:
$found"
}

# Replays the seeds of earlier failures, a few seconds each.
check_soak() {
	local seed
	for seed in $(grep -oE '^[0-9]+' lab/soak/seeds.txt); do
		bin/trefoilweir-lab soak --seed "$seed" --length 6s --dir demo-logs/soak
	done
}

check_spec() {
	if [ ! -d spec ]; then
		echo "NOT CHECKED: the specification, because spec/ is not there"
		return
	fi
	if ! command -v spin >/dev/null; then
		# apt-get update comes first because a new machine has no package lists.
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
	for file in examples/packet/*.json; do
		bin/trefoilweir packet check "$file"
	done
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
step names
check_platform_names
step share of the soak
check_soak_share
step tests
bash scripts/gotest.sh -short -race "${modules[@]}"
step examples
check_examples
step specification
check_spec
step demo
bin/trefoilweir-lab packet-demo
step odd entries
# Real processes, so they run alone.
bash scripts/gotest.sh -count=1 '-run=^TestOddEntriesOfAnotherWriter$' ./lab/rig
step soak
check_soak
step demo of the QUIC plane
DEMO_SEED=1 bash lab/demo.sh
echo "all checks passed; make faults runs the fault tests with real processes"
