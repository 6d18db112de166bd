package rosecleat.policy;

/** Counts recent arrivals and completions with exponential decay. */
final class RequestRates {
  /** Time constant of the decay. */
  private static final double TIME_CONSTANT_US = 2e6;

  private static final double US_PER_S = 1e6;

  private double arrivals;
  private double completions;
  private long fadedAtUs;

  void start(long nowUs) {
    fadedAtUs = nowUs;
  }

  /** Decays the counts up to now and returns the decay factor. */
  double fade(long nowUs) {
    double factor = Math.exp(-(nowUs - fadedAtUs) / TIME_CONSTANT_US);
    arrivals *= factor;
    completions *= factor;
    fadedAtUs = nowUs;
    return factor;
  }

  void countArrival() {
    arrivals += 1;
  }

  void countCompletion() {
    completions += 1;
  }

  double arrivals() {
    return arrivals;
  }

  double completions() {
    return completions;
  }

  /** Converts a count that decays like these into a rate per second. */
  static double perSecond(double fadingCount) {
    return fadingCount / (TIME_CONSTANT_US / US_PER_S);
  }
}
