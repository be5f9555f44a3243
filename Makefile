# Targets for everything; `make` alone lists them.
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: help build demo test check fmt lint unit matrix bench-policy
.PHONY: help build demo test check fmt lint unit matrix bench-once
.PHONY: $(shell grep -oE '^[a-z-]+:' $(MAKEFILE_LIST) | tr -d :)

help: ## list the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 16

build: ## build the programs into bin/
	go build -o bin/ . ./cmd/...

demo: build ## run the whole path on loopback, kill a host half way, judge
	./scripts/demo.sh bin

test: check matrix ## all tests and checks

check: ## formatter, linter and module files
	go mod tidy -diff
	go vet ./...
	go run $(LINT) fmt --diff
	go run $(LINT) run

fmt: ## format the sources
	go run $(LINT) fmt

matrix: build ## all Go tests, and from their reports the fault matrix
	./scripts/matrix.sh bin

bench-member: ## what membership and the messenger cost
	go test -run '^$$' -bench . -benchtime 1x ./messenger ./registrar

unit: build ## all Go tests, quicker and without the matrix
	go test -count=1 ./...

bench-policy: build ## measure the policy: 1.5 times the capacity on 20 seeds, the grid on 2; to docs/bench
	mkdir -p docs/bench/target docs/bench/grid
	bin/bencher --demand 1.5 --condition well --first 101 --last 120 --out docs/bench/target
	bin/bencher --first 101 --last 102 --out docs/bench/grid
	go test ./dispatcher -run XXX -bench . -benchmem -count 5
bench-once: ## store writes of a once-call against load
	go run ./cmd/oncebench
bench-path: build ## what a host adds to a call, side by side with none
	./scripts/bench-path.sh bin

bench-slopes: build ## what control costs as hosts, organisations, workers, requests grow
	./scripts/bench-slopes.sh bin
