.PHONY: build test lint demo demo-quic soak faults fuzz measure slopes

build:
	go build -o bin/ ./node/cmd/... ./lab/cmd/...

test:
	bash scripts/check.sh

lint:
	test -z "$$(gofmt -l core node lab platform)"
	go vet ./core/... ./node/... ./lab/... ./platform/...
	go tool staticcheck ./core/... ./node/... ./lab/... ./platform/...

# The packet plane as processes on loopback, under 15 s.
demo: build
	bin/trefoilweir-lab packet-demo

# The QUIC plane as processes on loopback, under 45 s.
demo-quic: build
	bash lab/demo.sh

# Random faults on real processes of the packet plane, 50 seeds, about 15
# minutes. Seeds that once failed stand in lab/soak/seeds.txt.
soak: build
	bin/trefoilweir-lab soak --seed 1 --seeds 50 --dir demo-logs/soak

# Fault tests with real processes, one at a time, under 6 minutes.
faults: build
	bash scripts/gotest.sh -count=1 -v ./lab/faults

# Every decoder and decision that takes bytes from outside, 30 s each, about 5
# minutes. The tests play the seeds.
fuzz:
	bash scripts/fuzz.sh 30s

# Imbalance and latency with real processes, beside a central queue in model
# time with the same sizes and loads.
measure: build
	bin/trefoilweir-lab measure
	bin/trefoilweir-lab policy --policy central-least-busy --policy central-fastest --size 7x7 --size 7x3 --ratio 4 --load 0.7 --load 0.9 --seed 11

# Measurements behind docs/CAPACITY.md, one line a slope, under 5 minutes.
slopes:
	bash scripts/slopes.sh
