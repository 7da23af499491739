.PHONY: build test lint demo faults slopes

build:
	go build -o bin/ ./node/cmd/... ./lab/cmd/...

test:
	bash scripts/check.sh

lint:
	test -z "$$(gofmt -l core node lab)"
	go vet ./core/... ./node/... ./lab/...
	go tool staticcheck ./core/... ./node/... ./lab/...

demo: build
	bash lab/demo.sh

# Fault tests with real processes, one at a time, under 6 minutes.
faults: build
	bash scripts/gotest.sh -count=1 -v ./lab/faults

# Measurements behind docs/CAPACITY.md, one line a slope, under 5 minutes.
slopes:
	bash scripts/slopes.sh
