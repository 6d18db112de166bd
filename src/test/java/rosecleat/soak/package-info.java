/**
 * A soak test: seeded runs of a real node process with fakes of its peers, checked against the
 * rules of the protocol page. The plan of a run is drawn from its seed, so {@code make soak SEED=N
 * RUNS=1} repeats the plan of a failing run.
 *
 * <p>{@link rosecleat.soak.SoakRun} is the entry point; {@link rosecleat.soak.SoakOracle} contains
 * the rules.
 */
package rosecleat.soak;
