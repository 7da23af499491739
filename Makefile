.PHONY: build test lint demo

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
