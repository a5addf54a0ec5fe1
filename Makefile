# Only Go must be installed; the other tools are downloaded into .tools.
GOLANGCI_LINT_VERSION = v2.15.0
WIRE_VERSION = v0.7.0
TOOLS = $(CURDIR)/.tools
USER_NAME ?= kitami

.PHONY: build demo test lint unit race proofs fuzz soak measure generate

build:
	go build -o bin/ ./cmd/...

demo: build ## end-to-end demo with separate processes and faults
	USER_NAME=$(USER_NAME) bash scripts/demo.sh

test: lint unit ## lint and all tests, as in CI

$(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(TOOLS)/golangci-lint $@

$(TOOLS)/wire-$(WIRE_VERSION):
	GOBIN=$(TOOLS) go install github.com/google/wire/cmd/wire@$(WIRE_VERSION)
	mv $(TOOLS)/wire $@

lint: $(TOOLS)/golangci-lint-$(GOLANGCI_LINT_VERSION)
	$< run ./...

unit: build
	bash scripts/test.sh

race: build ## all tests under the race detector; takes about five minutes
	go test -count=1 -race -timeout 30m ./...

proofs: build ## mutation tests: each test must fail while its mechanism is disabled
	bash scripts/prove.sh

fuzz: ## property tests with random seeds; prints the seed of a failure
	bash scripts/fuzz.sh

SEEDS ?= 50
FIRST ?= 1
soak: ## entry daemons as processes under injected faults; FIRST and SEEDS select the seeds
	go test -count=1 -timeout 60m -v -run TestSoak ./internal/proof/soak -args -first $(FIRST) -seeds $(SEEDS)

measure: build ## compares each decision with its baseline
	bin/gypsumpitch measure --out docs/measurements

generate: $(TOOLS)/wire-$(WIRE_VERSION)
	$< ./internal/program/daemon ./internal/program/entry
	$(MAKE) build
	bin/gypsumpitchd print-settings-page > docs/SETTINGS.md
	bin/gypsumpitchd print-codes-page > docs/RESULT_CODES.md
