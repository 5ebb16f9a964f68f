# Targets: build, check, demo, bench, generate. README.md says when to use which.
MODULES := core cftd cftctl cftlab platform
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
# CROWD_PACKAGE measures the memory of daemons, so nothing else runs beside it.
CROWD_PACKAGE := ./cftlab/crowd
# KNOWN_RED has the tests that KNOWN-RED.txt lists as "N. test NAME: ...", joined by |.
KNOWN_RED := $(shell sed -nE 's/^[0-9]+\. test ([^ :]+):.*/^\1$$/p' KNOWN-RED.txt | paste -sd'|' -)
DEPLOYMENT ?= quito
SECONDS ?= 10

# Names of the users' platform. Only platform/ and deploy/ may know them.
PLATFORM_NAMES := X-Comfreytack-|kv-range|kv-watch|kv-key|op/config|weightedClusters|routeType|pathPrefix|targetLatencyS|maxConcurrency|heartbeatS|non_idempotent|op/evacuate|warmupS|warmupPerS|warmupLeftS|COMFREYTACK_CONFIG

.PHONY: build check demo bench generate

build:
	go build -o bin/ ./cftd ./cftctl ./cftlab
	go build -o bin/cftd-platform ./platform

# Formatter, linter, vet for both kinds of machine, race-enabled tests, golden sessions and a short soak; seeds are fixed so that every run gives
# the same verdict.
check: build
	@unformatted=$$(gofmt -s -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "run gofmt -s -w on:"; echo "$$unformatted"; exit 1; fi
	@strays=$$(grep -rlE '$(PLATFORM_NAMES)' --include=*.go core cftd cftctl cftlab); if [ -n "$$strays" ]; then echo "names of the platform outside platform/:"; echo "$$strays"; exit 1; fi
	for machine in amd64 arm64; do CGO_ENABLED=0 GOARCH=$$machine go vet $(PACKAGES) || exit 1; done
	go tool staticcheck $(PACKAGES)
	go tool revive -config tools/revive.toml -set_exit_status $(PACKAGES)
	@grep -E '^[0-9]+\. test ' KNOWN-RED.txt | sed 's/^/known red, not run: /' || true
	go test -race -count=1 -timeout 600s -skip '$(KNOWN_RED)' $$(go list $(PACKAGES) | grep -v /cftlab/crowd$$)
	go test -count=1 -timeout 600s -skip '$(KNOWN_RED)' $(CROWD_PACKAGE)
	for seed in 1 2; do bin/cftlab faults --seconds 6 --seed $$seed --count 15 --bin bin || exit 1; done

# Starts a whole deployment on loopback, sends a mixed load while upstreams fail, and checks the run logs.
demo: build
	bin/cftlab demo --deployment $(DEPLOYMENT) --seconds $(SECONDS) --bin bin

bench:
	go test -run '^$$' -bench . -benchmem ./core/...

generate:
	go generate ./core/... ./cftd/... ./cftctl/... ./cftlab/...
