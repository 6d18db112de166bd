package rosecleat.policy;

import java.util.SplittableRandom;

/** The settings, time, actions and random numbers that all parts of one policy share. */
final class PolicyContext {
  /** The host's actions. */
  final PolicyActions actions;

  /** The only source of random numbers; the policy's behaviour depends on the order of draws. */
  final SplittableRandom random;

  private PolicySettings settings;
  private long nowUs;

  PolicyContext(PolicySettings settings, long seed, PolicyActions actions) {
    this.settings = settings;
    this.actions = actions;
    random = new SplittableRandom(seed);
  }

  /** Returns the current settings. */
  PolicySettings settings() {
    return settings;
  }

  /** Replaces the current settings. */
  void settings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /** Returns the time of the event that is being handled (us). */
  long nowUs() {
    return nowUs;
  }

  /** Sets the time of the event that is being handled (us). */
  void nowUs(long eventUs) {
    nowUs = eventUs;
  }
}
