# Thin wrapper around Meson: the targets the README names.
BUILD ?= build
SAN ?= build-sanitize
FUZZ ?= build-fuzz

.PHONY: all build test demo bench lint format sanitize fuzz install-packages

all: build

install-packages:
	sh .ci/install

$(BUILD)/build.ninja:
	meson setup $(BUILD) --buildtype=debugoptimized

build: $(BUILD)/build.ninja
	ninja -C $(BUILD)

test: install-packages lint build sanitize fuzz
	sh tests/run-all.sh $(BUILD)

sanitize:
	test -f $(SAN)/build.ninja || \
		meson setup $(SAN) --buildtype=debugoptimized -Db_sanitize=address,undefined -Db_lundef=false
	ninja -C $(SAN)
	sh tests/run-all.sh $(SAN) --suite unit

fuzz:
	test -f $(FUZZ)/build.ninja || \
		CC=clang meson setup $(FUZZ) --buildtype=debugoptimized -Dfuzz=true -Db_sanitize=address -Db_lundef=false
	ninja -C $(FUZZ)
	meson test -C $(FUZZ) --suite fuzz --print-errorlogs

demo: install-packages build
	sh examples/demo.sh $(BUILD)

bench: build
	$(BUILD)/comfreywheel-bench/comfreywheel-bench all

lint:
	sh .ci/lint

format:
	git ls-files -co --exclude-standard '*.c' '*.h' ':!*.pb-c.[ch]' | xargs clang-format -i
