# Tools that a fresh machine with Go, gcc, make and git does not have are installed
# below into .tools, at pinned versions.

TOOLS := $(CURDIR)/.tools/bin
BIN := $(CURDIR)/bin
GOLANGCI_LINT_VERSION := v2.15.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_CONNECT_VERSION := v1.21.1
GOPLS_VERSION := v0.20.0
TEST_FLAGS ?=

export CGO_ENABLED = 1
export GOFLAGS = -buildvcs=false

.PHONY: run experiment experiments test build lint format check-format check-generated generate bench tools

# RUN_LIMIT_S limits the duration of make run without the build, in seconds.
RUN_LIMIT_S := 57

# run starts a deployment on this machine, generates load and checks the service
# guarantees.
run: build
	timeout $(RUN_LIMIT_S) scripts/run.sh $(BIN) scenarios/smoke.json

# test runs every test. Those of misbehaving clients run after the others, because their load
# would slow them down.
ABUSE_TESTS := ./internal/clientlimit/abusetest
test: build
	@status=0; export TAMARACK_BIN=$(BIN); \
	go test -count=1 $(TEST_FLAGS) $$(go list ./... | grep -v /clientlimit/abusetest) || status=1; \
	go test -count=1 -timeout 40m $(TEST_FLAGS) $(ABUSE_TESTS) || status=1; \
	exit $$status

build:
	mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

# experiment runs one scenario: make experiment SCENARIO=scenarios/NAME.json
SCENARIO ?= scenarios/smoke.json
OUT ?= $(CURDIR)/experiments
experiment: build
	mkdir -p $(OUT)
	scripts/run.sh $(BIN) $(SCENARIO) $(OUT)/$(basename $(notdir $(SCENARIO))).json $(OUT)

# experiments runs every scenario RUNS times and prints the table of
# docs/EXPERIMENTS.md.
RUNS ?= 3
experiments: build
	scripts/experiments.sh $(BIN) $(OUT) $(RUNS)

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

check-format:
	@out=$$(gofmt -l $$(git ls-files '*.go' | grep -v '^gen/')); if [ -n "$$out" ]; then echo "gofmt would change: $$out"; exit 1; fi

format:
	gofmt -w $$(git ls-files '*.go' | grep -v '^gen/')

lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint run ./...

# check-generated checks that the generated code of every .proto file is committed.
check-generated:
	@for f in proto/tamarack/v1/*.proto; do \
		g=gen/tamarack/v1/$$(basename $$f .proto).pb.go; \
		git ls-files --error-unmatch $$g >/dev/null || exit 1; \
	done

generate: $(TOOLS)/buf $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-connect-go
	PATH="$(TOOLS):$$PATH" $(TOOLS)/buf lint
	rm -rf gen
	PATH="$(TOOLS):$$PATH" $(TOOLS)/buf generate

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(TOOLS)/buf:
	GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)

$(TOOLS)/protoc-gen-go:
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

$(TOOLS)/protoc-gen-connect-go:
	GOBIN=$(TOOLS) go install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_VERSION)

# tools installs the tools for linting and for renaming identifiers (gopls).
tools: $(TOOLS)/golangci-lint $(TOOLS)/gopls

$(TOOLS)/gopls:
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
