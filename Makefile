BINARIES := azb-entry azb-ctl azb-standin azb-load

.PHONY: build test lint run bench model fuzz clean

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go mod tidy -diff
	go vet ./...
	go tool staticcheck ./...

run: build
	@DEPLOYMENT="$(DEPLOYMENT)" DURATION="$(DURATION)" scripts/run.sh

clean:
	rm -rf bin out
