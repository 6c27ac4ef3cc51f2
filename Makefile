# The main targets are demo, test, bench and fuzz. Each installs the tools and
# libraries that it needs on a fresh Debian 12 machine.
BUILD ?= build
SEED ?=
SECONDS ?= 60
JOBS ?= $(shell nproc)

# First and last seed of the soak target.
FIRST ?= 1
LAST ?= 50

.PHONY: demo test bench fuzz fuzz-mutants capacity build setup format lint soak soak-cases

setup:
	@bash scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DDAISYSPOOL_WARNINGS_AS_ERRORS=ON > $(BUILD).configure.log || (cat $(BUILD).configure.log; exit 1)
	@rm -f $(BUILD).configure.log
	@ninja -C $(BUILD) -j $(JOBS) --quiet

test: build
	@bash scripts/run-tests.sh $(BUILD)

demo: build
	@bash scripts/demo.sh $(BUILD)

bench: build
	@bash scripts/bench.sh $(BUILD)

capacity: build
	@bash scripts/capacity.sh $(BUILD)

fuzz: build
	@bash scripts/fuzz.sh $(BUILD) "$(SEED)" "$(SECONDS)"

soak: build
	@bash scripts/soak.sh $(BUILD) $(FIRST) $(LAST)

soak-cases: build
	@bash scripts/soak.sh $(BUILD) cases

fuzz-mutants: build
	@bash scripts/fuzz-mutants.sh $(BUILD)

format: setup
	@bash scripts/format.sh --check

lint: build
	@bash scripts/lint.sh $(BUILD)
