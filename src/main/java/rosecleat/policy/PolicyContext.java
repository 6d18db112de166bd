package rosecleat.policy;

import java.util.SplittableRandom;

/** What all parts of one server's policy share: settings, time, actions and random numbers. */
final class PolicyContext {
  /** The host's actions. */
  final PolicyActions actions;

  /** The one source of random numbers; the order of draws is part of the policy's behaviour. */
  final SplittableRandom random;

  private PolicySettings settings;
  private long nowUs;

  PolicyContext(PolicySettings settings, long seed, PolicyActions actions) {
    this.settings = settings;
    this.actions = actions;
    random = new SplittableRandom(seed);
  }

  /** The settings in force. */
  PolicySettings settings() {
    return settings;
  }

  /** Other settings, from now on. */
  void settings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /** The time of the event that is being handled (us). */
  long nowUs() {
    return nowUs;
  }

  /** Sets the time of the event that is being handled (us). */
  void nowUs(long eventUs) {
    nowUs = eventUs;
  }
}
