# Commands for users of the repository; see README.md.
SHELL := /bin/bash
BUILD := build
SETUP_MARK := $(BUILD)/.setup-done
PACKAGES := libcxxtools-dev libboost-dev libboost-test-dev libssl-dev libnng-dev libmsgpack-cxx-dev \
  nlohmann-json3-dev libtclap-dev libspdlog-dev librapidcheck-dev prometheus-cpp-dev libxxhash-dev libzstd-dev \
  libbenchmark-dev ccache ninja-build cmake g++ git pkg-config clang-format clang-tidy curl openssl python3
# Lets checkouts in different folders share one compiler cache.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1
# A fixed seed gives CI the same verdict on every run; `make soak` varies it.
export RC_PARAMS ?= seed=20261204
SEED ?= $(shell date +%s)
CASES ?= 10000
JOBS ?= $(shell nproc)

.PHONY: setup packages build test demo bench soak fault-soak fuzz model-check guards format lint
packages:
	apt-get update
	apt-get install -y --no-install-recommends $(PACKAGES)

setup: packages
	$(MAKE) build
	touch $(SETUP_MARK)

$(SETUP_MARK):
	$(MAKE) setup

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: $(SETUP_MARK)
	$(MAKE) build
	cd $(BUILD) && ctest --output-on-failure -j 4 --no-tests=error

demo: $(SETUP_MARK)
	$(MAKE) build
	$(BUILD)/bin/bamboomount_demo --build $(BUILD)/bin --examples examples

bench: $(SETUP_MARK)
	cmake -S . -B build-bench -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	cmake --build build-bench -j $(JOBS)
	scripts/run_benchmarks build-bench/bin

# Runs every property test with many cases; prints the seed so that a failure can be repeated.
soak: $(SETUP_MARK)
	$(MAKE) build
	@echo "SEED=$(SEED) CASES=$(CASES)"
	cd $(BUILD) && RC_PARAMS="seed=$(SEED) max_success=$(CASES)" ctest --output-on-failure -j 4 --timeout 3600

# Injects random faults into entry instances; see tests/soak/SEEDS.md.
SECONDS ?= 60
fault-soak: $(SETUP_MARK)
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS) --target fault_soak bamboomount_entry
	@echo "SEED=$(SEED) SECONDS=$(SECONDS)"
	$(BUILD)/bin/fault_soak --seed $(SEED) --seconds $(SECONDS) --logs $(BUILD)/fault-soak-$(SEED)

# Generated messages for the readers and for a running instance, then chosen by coverage; see fuzz/README.md.
fuzz: $(SETUP_MARK)
	$(MAKE) build
	@echo "SEED=$(SEED) SECONDS=$(SECONDS)"
	$(BUILD)/bin/fuzz_messages --seed $(SEED) --seconds $(SECONDS) --keep $(BUILD)
	$(BUILD)/bin/fuzz_instance --seed $(SEED) --seconds $(SECONDS)
	apt-get install -y --no-install-recommends clang libclang-rt-14-dev
	cmake -S . -B $(BUILD)-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DBAMBOOMOUNT_COVERAGE_FUZZER=ON >/dev/null
	cmake --build $(BUILD)-fuzz -j $(JOBS) --target fuzz_coverage
	mkdir -p $(BUILD)-fuzz/corpus
	$(BUILD)-fuzz/bin/fuzz_coverage -seed=$(SEED) -max_total_time=$(SECONDS) -max_len=400 \
	  -artifact_prefix=$(BUILD)-fuzz/ $(BUILD)-fuzz/corpus fuzz/corpus

# Explores orders of events up to a depth, 0 for that of CI; see check/README.md.
DEPTH ?= 0
model-check: $(SETUP_MARK)
	$(MAKE) build
	$(BUILD)/bin/model_check --depth $(DEPTH) --states 20000000

# Shows that each property fails without its guard.
guards:
	check/guards.py

format:
	git ls-files '*.h' '*.cc' | xargs clang-format -i

lint: build
	scripts/lint $(BUILD)
