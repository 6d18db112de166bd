.PHONY: build test lint format run ask clean

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

# Runs all linters; rebuilds target/ from scratch.
lint:
	mvn -q -B -DskipTests -Plint clean package

# Formats all sources.
format:
	mvn -q -B spotless:apply

# Starts a standalone broker, which responds with the examples of the API descriptions; needs nothing else running.
run: build
	java -jar target/rosecleat.jar serve --broker deploy/broker.yaml

# Sends one uwsgi request to that broker; prints the status and the body.
ASK = 127.0.0.1:3031 GET /cards/77/balance aspen-dining
ask:
	@test -f target/rosecleat.jar || $(MAKE) -s build
	@java -cp target/rosecleat.jar rosecleat.front.uwsgi.AskOnce $(ASK)

clean:
	mvn -q -B clean

# Runs the soak test with RUNS consecutive seeds, starting at SEED. `make test` runs only a short set of seeds.
.PHONY: soak
SEED = 1
RUNS = 50
soak:
	mvn -B test -Dtest=SoakTest -Dsoak.seed=$(SEED) -Dsoak.runs=$(RUNS)

# Measurements, which take long and are not part of the tests. Each prints the table that is recorded in
# docs/measurements.
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

# Membership views of a fleet: FLEET_SEEDS simulated runs per row in virtual time, then FLEET_PROCESSES real processes.
FLEET_SEEDS = 64
FLEET_PROCESSES = 40
measure-fleet: measure-classes
	java -Xmx6g -cp target/test-classes:target/classes:$$(cat target/classpath) rosecleat.measure.FleetView $(FLEET_SEEDS)
	$(MEASURE) rosecleat.harness.FleetProcesses $(FLEET_PROCESSES) 1000

# Total load that 20 and 30 processes put on a dependency that returns cold.
measure-ramp: measure-classes
	$(MEASURE) rosecleat.policy.FleetRamp

measure-routes: measure-classes
	$(MEASURE) rosecleat.measure.RoutesSpeed
