#!/usr/bin/env bash
# Runs the measurements behind the figures in docs/CAPACITY.md, one after the
# other, and prints one line per slope: package, quantity, value, unit. The
# argument selects the groups whose names contain it; by default all groups run.
set -euo pipefail
cd "$(dirname "$0")/.."
wanted=${1:-}

# lines prints the metrics of the benchmarks and the slopes that tests log.
lines() {
	awk '
		/^(---)? *FAIL/ { failed = 1; print }
		/^pkg: / { package = $2 }
		/^Benchmark/ {
			name = $1
			sub(/-[0-9]+$/, "", name)
			for (i = 3; i < NF; i += 2)
				if ($(i + 1) != "B/op" && $(i + 1) != "allocs/op")
					printf "%s %s %s %s\n", package, name, $i, $(i + 1)
		}
		/slope: / { sub(/^.*slope: /, ""); print module " " $0 }
		END { exit failed }
	' module="$1"
}

# group NAME PACKAGE FLAGS... runs one group of measurements.
group() {
	local name=$1 package=$2
	shift 2
	[[ $name == *"$wanted"* ]] || return 0
	echo "== $name: go test $package -count=1 -timeout 10m $*"
	go test "$package" -count=1 -timeout 10m "$@" | lines "$package"
}

none='^$'
group balancer-datagrams ./node/balancer -run "$none" -bench 'Prepare|DatagramWithSockets' -benchtime 300ms
group balancer-memory ./node/balancer -run "$none" -bench 'MemoryPerServiceAddress' -benchtime 1x
group balancer-apply ./node/balancer -run "$none" -bench 'Apply' -benchtime 300ms
group core ./core/wire -run "$none" -bench 'Seal|Open' -benchtime 300ms
group core ./core/placement -run "$none" -bench 'Rank16' -benchtime 300ms
group core ./core/returnpath -run "$none" -bench 'Next' -benchtime 300ms
group pings ./core/returnpath -run TestPingsPerSecond -v
group agent-connections ./node/agent -run TestSlopesOfConnections -v
group agent-messages ./node/agent -run TestSizeOfControlMessages -v
group tickets ./core/ticket -run TestMemoryOfFullTable -bench ClaimCompleteForget -benchtime 300ms -v
group configuration ./core/config -run "$none" -bench 'Parse|Heap|Assemble' -benchtime 300ms
group distribution ./core/distribution -run "$none" -bench 'Fleet/(undisturbed|partition)' -benchtime 1x
group change ./node/confsync -run "$none" -bench 'Reconverge/10/' -benchtime 20x
group process-memory ./node/confsync -run "$none" -bench Memory -benchtime 1x
group vm-list ./node/confsync -run "$none" -bench VMListChange -benchtime 300ms
