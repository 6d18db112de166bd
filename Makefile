.PHONY: build test lint format run ask clean

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

# The linters, on everything; target/ holds what they compiled afterwards.
lint:
	mvn -q -B -DskipTests -Plint clean package

# Lays every source out as the formatter does.
format:
	mvn -q -B spotless:apply

# A broker by itself, on a fresh machine: it answers what the descriptions show.
run: build
	java -jar target/rosecleat.jar serve --broker deploy/broker.yaml

# One uwsgi request to it; prints the status and the body.
ASK = 127.0.0.1:3031 GET /cards/77/balance aspen-dining
ask:
	@test -f target/rosecleat.jar || $(MAKE) -s build
	@java -cp target/rosecleat.jar rosecleat.front.uwsgi.AskOnce $(ASK)

clean:
	mvn -q -B clean

# The soak test with other seeds: RUNS runs from SEED on, each drawn from its seed. `make test` plays a short set.
.PHONY: soak
SEED = 1
RUNS = 50
soak:
	mvn -B test -Dtest=SoakTest -Dsoak.seed=$(SEED) -Dsoak.runs=$(RUNS)

# Measurements; long, and no part of the tests. Each prints the table that docs/measurements keeps.
.PHONY: measure-classes measure-state measure-store measure-fleet measure-routes measure-ramp

measure-classes: build
	mvn -q -B test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath -Dmdep.includeScope=test

MEASURE = java -cp target/test-classes:target/classes:$$(cat target/classpath)
SEEDS = 7
RATE = 140

measure-state: measure-classes
	$(MEASURE) rosecleat.measure.StateStart target/rosecleat.jar target/measure $(SEEDS) $(RATE)

measure-store: measure-classes
	$(MEASURE) rosecleat.measure.StoreSpeed target/measure

# The view of a fleet: FLEET_SEEDS plays of each row on virtual time, then FLEET_PROCESSES real ones.
FLEET_SEEDS = 64
FLEET_PROCESSES = 40
measure-fleet: measure-classes
	java -Xmx6g -cp target/test-classes:target/classes:$$(cat target/classpath) rosecleat.measure.FleetView $(FLEET_SEEDS)
	$(MEASURE) rosecleat.harness.FleetProcesses $(FLEET_PROCESSES) 1000

# What 20 and 30 processes send in sum to a dependency that comes back cold.
measure-ramp: measure-classes
	$(MEASURE) rosecleat.policy.FleetRamp

measure-routes: measure-classes
	$(MEASURE) rosecleat.measure.RoutesSpeed
