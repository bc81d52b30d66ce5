# Targets: build, test, check (format and lint only), demo, bench, install.
BUILD ?= build

.PHONY: build test check demo bench install

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

test:
	scripts/test

check:
	scripts/check-format
	scripts/check-lint $(BUILD)

demo: build
	scripts/demo $(BUILD)

bench: build
	scripts/bench $(BUILD)

install: build
	cmake --install $(BUILD)
