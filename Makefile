# Configuration file of `make run`, which fails with a message if the file is missing.
GW_CONFIG ?= config.json

.PHONY: build test lint run rehearse
build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	./test.sh

lint:
	test -z "$$(gofmt -l .)" && go vet ./... && go tool -modfile=tools/go.mod staticcheck -checks all ./...

run: build
	GW_CONFIG=$(GW_CONFIG) bin/coursewinch

rehearse: build
	bin/rehearse live calm-evening
