GO ?= go
PKGS := ./...
TEST_TIMEOUT := 7m

.PHONY: all build test format-check vet lint unit clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

test: format-check vet lint unit

format-check:
	@out=$$(gofmt -l $$(git ls-files -co --exclude-standard "*.go")); \
	if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet $(PKGS)

lint:
	$(GO) tool staticcheck $(PKGS)

unit:
	$(GO) test -race -timeout $(TEST_TIMEOUT) $(PKGS)

clean:
	rm -rf bin
