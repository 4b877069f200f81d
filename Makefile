# The short forms; deploy/balancer.toml holds what build and run are.
line = $(shell sed -n 's/^$(1) = "\(.*\)".*/\1/p' deploy/balancer.toml)

.PHONY: build test lint format run

build:
	$(call line,build)

test:
	mvn -B verify

lint:
	mvn -B -q clean test-compile -Dmaven.compiler.failOnWarning=true -Dmaven.compiler.showWarnings=true
	mvn -B -q spotless:check checkstyle:check

format:
	mvn -B -q spotless:apply

# ROUTER_CONFIG names the configuration
run:
	$(call line,run)
