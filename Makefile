.PHONY: build test lint run bench docs model fuzz prove soak clean

build:
	go build -o bin/ ./cmd/...

test:
	scripts/test.sh

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go mod tidy -diff
	go vet ./...
	go tool staticcheck ./...

run: build
	@DEPLOYMENT="$(DEPLOYMENT)" DURATION="$(DURATION)" scripts/run.sh

# docs runs the curl examples of docs/callers.md.
docs: build
	scripts/check-docs.sh

# bench runs the fault experiments on real processes; EXPERIMENTS selects some by number, for example "1 4".
bench: build
	@scripts/bench.sh $(EXPERIMENTS)

# model checks the specifications in model/ with spin (Debian's package spin).
model:
	scripts/model.sh

# fuzz runs each fuzz target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	scripts/fuzz.sh $(FUZZTIME)

# prove runs the property tests with many more cases and a new seed, which it prints.
prove:
	scripts/prove.sh

# soak runs azb-front under random faults: with the seeds of cmd/azb-soak/seeds.txt, then with SEEDS new ones, which it prints.
SEEDS ?= 5
soak: build
	bin/azb-soak --known --seeds $(SEEDS)

clean:
	rm -rf bin out
