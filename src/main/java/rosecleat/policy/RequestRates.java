package rosecleat.policy;

/** Recent arrivals and completions, with exponentially fading memory. */
final class RequestRates {
  /** Time constant of the memory (us); chosen here. */
  private static final double TIME_CONSTANT_US = 2e6;

  private static final double US_PER_S = 1e6;

  private double arrivals;
  private double completions;
  private long fadedAtUs;

  void start(long nowUs) {
    fadedAtUs = nowUs;
  }

  /** Fades the memory up to now and returns the factor. */
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

  /** Converts a count that fades like these into a rate a second. */
  static double perSecond(double fadingCount) {
    return fadingCount / (TIME_CONSTANT_US / US_PER_S);
  }
}
