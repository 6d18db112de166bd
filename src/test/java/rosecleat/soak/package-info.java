/**
 * A soak test: seeded runs of a real node process between fakes of its peers, checked against the
 * rules that the protocol's page states. Everything a run does is drawn from its seed, so that a
 * failing run is played again by {@code make soak SEED=N RUNS=1}.
 *
 * <p>Begin reading in {@link rosecleat.soak.SoakRun}; the rules are in {@link
 * rosecleat.soak.SoakOracle}.
 */
package rosecleat.soak;
