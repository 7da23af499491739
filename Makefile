.PHONY: build test lint demo drain demo-quic soak faults fuzz measure slopes

build:
	go build -o bin/ ./node/cmd/... ./lab/cmd/...

test:
	bash scripts/check.sh

lint:
	test -z "$$(gofmt -l core node lab platform)"
	go vet ./core/... ./node/... ./lab/... ./platform/...
	go tool staticcheck ./core/... ./node/... ./lab/... ./platform/...

# Runs the packet plane as processes on loopback, under 15 s.
demo: build
	bin/trefoilweir-lab packet-demo

# Drains the zones of the packet plane's demo while its processes restart and the
# store is slow or returns from a backup, under 45 s.
drain: build
	bin/trefoilweir-lab packet-drain --dir demo-logs/drain

# Runs the QUIC plane as processes on loopback, under 45 s.
demo-quic: build
	bash lab/demo.sh

# Injects random faults into real processes of the packet plane: 50 seeds, about
# 15 minutes. Seeds of earlier failures are listed in lab/soak/seeds.txt.
soak: build
	bin/trefoilweir-lab soak --seed 1 --seeds 50 --dir demo-logs/soak

# Runs the fault tests with real processes, one at a time, under 6 minutes.
faults: build
	bash scripts/gotest.sh -count=1 -v ./lab/faults

# Fuzzes every decoder and decision that processes bytes from outside, 30 s each,
# about 5 minutes. The ordinary tests run the seed corpus.
fuzz:
	bash scripts/fuzz.sh 30s

# Measures imbalance and latency with real processes, and simulates a central
# queue with the same sizes and loads for comparison.
measure: build
	bin/trefoilweir-lab measure
	bin/trefoilweir-lab policy --policy central-least-busy --policy central-fastest --size 7x7 --size 7x3 --ratio 4 --load 0.7 --load 0.9 --seed 11

# Runs the measurements behind docs/CAPACITY.md and prints one line per slope,
# under 5 minutes.
slopes:
	bash scripts/slopes.sh
