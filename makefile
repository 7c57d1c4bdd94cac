# Short targets only; the build itself is described in CMakeLists.txt.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build test demo format format-check lint count clean

all: build

install:
	scripts/install-packages

build:
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_EXPORT_COMPILE_COMMANDS=ON > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: install build
	scripts/run-tests $(BUILD)

demo: install build
	scripts/demo $(BUILD)

format:
	git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format -i

format-check:
	git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	scripts/lint $(BUILD) $(JOBS)

count:
	scripts/count-lines

clean:
	rm -rf $(BUILD)
