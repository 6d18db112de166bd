.PHONY: build test lint run clean

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

# The compiler's warnings as errors, then the size and width of the decision module.
lint:
	mvn -q -B -DskipTests -Plint clean package
	sh .ci/module-size

run: build
	$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)

clean:
	mvn -q -B clean
