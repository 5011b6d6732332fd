# What a newcomer needs. Everything is installed in .venv; nothing outside this folder is touched.
PYTHON ?= python3
export PIP_DISABLE_PIP_VERSION_CHECK = 1

.PHONY: help demo test
help:
	@echo "make demo   a relay with stand-ins and clients on loopback for 20 s, with a live table"
	@echo "make test   all checks: lint, types, tests"
	@echo "Both make .venv first, which takes some 20 s; PYTHON=... chooses another Python (3.11 or later)."

demo: .venv/lab-made
	.venv/bin/glenfold lab demo

test: .venv/dev-made
	bash tests/run

# The last step leaves the stamp: an environment that was broken off is made again from nothing.
NEEDED = requirements.txt requirements-cli.txt requirements-lab.txt
.venv/lab-made: $(NEEDED)
	rm -rf .venv
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install $(NEEDED:%=-r %)
	.venv/bin/pip -q install --no-deps -e .
	touch $@

.venv/dev-made: .venv/lab-made requirements-dev.txt
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@
