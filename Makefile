VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
# Tests wait most of their time; those of one file share a worker.
TEST_WORKERS ?= 4

.PHONY: demo test lint format measure slopes clean

$(STAMP): pyproject.toml
	python3.11 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev,load]'
	touch $(STAMP)

demo: $(STAMP)
	@$(BIN)/python -m emulator.demo

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist loadfile

lint: $(STAMP)
	$(BIN)/ruff format --check src emulator tests
	$(BIN)/flake8 src emulator tests

format: $(STAMP)
	$(BIN)/ruff format src emulator tests

measure: $(STAMP)
	$(BIN)/python -m emulator.measure

slopes: $(STAMP)
	$(BIN)/python -m emulator.slopes

clean:
	rm -rf $(VENV) build *.egg-info src/*.egg-info
