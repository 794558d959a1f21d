PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install demo run test check format generate bench capacity soak crowds clean

install: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: install
	$(BIN)/python -m examples.demo

run: install
	$(BIN)/tanagerforkd --embedded --settings examples/press/embedded.json5

test: install
	$(BIN)/python -m pytest -n 4 --ignore=tests/clients $(PYTEST_OPTIONS)

# One at a time, as each measures the memory of a process beside a crowd.
crowds: install
	$(BIN)/python -m pytest tests/clients $(PYTEST_OPTIONS)

check: install
	$(BIN)/black --check --quiet src tests bench examples tools deploy
	$(BIN)/ruff check --quiet src tests bench examples tools deploy
	$(BIN)/mypy --no-error-summary

format: install
	$(BIN)/ruff check --quiet --fix src tests bench examples tools || true
	$(BIN)/black --quiet src tests bench examples tools deploy

generate: install
	$(BIN)/pip install --quiet -r requirements-generate.txt
	$(BIN)/python -m tools.generate

soak: install
	$(BIN)/python -m tools.soak $(or $(SEED),1)

capacity: install
	$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) build .pytest_cache .mypy_cache .ruff_cache
