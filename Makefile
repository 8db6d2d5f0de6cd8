# `make demo` and `make test` set up everything they need in .venv.

PYTHON ?= python3
BIN := .venv/bin
SEEDS ?= 0:10000
LENGTH ?= 60
SIZE ?= 1
SOAK_ARGS ?=
KIT ?= ../given/kit/more/system

.PHONY: test lint demo measure sweep soak capacity seeds lock clean

.venv/ready: requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch .venv/ready

test: .venv/ready
	$(BIN)/python -m tools.run_tests

lint: .venv/ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/python -m tools.check_purity
	$(BIN)/python -m tools.check_links

demo: .venv/ready
	$(BIN)/python -m tools.demo

measure: .venv/ready
	$(BIN)/python -m tools.measure

sweep: .venv/ready
	$(BIN)/python -m tools.sweep --seeds $(SEEDS)

# `make soak SEEDS=1:3 LENGTH=60 SIZE=1 SOAK_ARGS='--all --report FILE'`; SOAK_ARGS=--help
# tells of all options.
soak: SEEDS = 1:4
soak: .venv/ready
	$(BIN)/python -m tools.soak --seeds $(SEEDS) --length $(LENGTH) --size $(SIZE) $(SOAK_ARGS)

capacity: .venv/ready
	$(BIN)/python -m tools.capacity

seeds: .venv/ready
	$(BIN)/python -m tools.replay_seeds --kit $(KIT)

lock:
	CUSTOM_COMPILE_COMMAND='make lock' $(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --extra dev --no-emit-options --strip-extras --output-file requirements/dev.txt pyproject.toml
	CUSTOM_COMPILE_COMMAND='make lock' $(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --no-emit-options --strip-extras --output-file requirements/run.txt pyproject.toml

clean:
	rm -rf .venv build *.egg-info
