package rosecleat.facts;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of facts. A value outside its range was never learnt by a working node. */
public enum Kind {
  /** The run time of a class, alone on the cores (us); samples are runs. */
  RUN_TIME("run-time", Of.CLASS, 1, 3_600e6, 32, 1),
  /** The usual length of a call below (us); samples are calls. */
  CALL_TIME("call-time", Of.NODE, 1, 3_600e6, 64, 1),
  /** The running limit (runs); a sample is a second under it. */
  LIMIT("limit", Of.NODE, 1, 1e5, 60, 0.5),
  /**
   * The limit on calls out at a time (calls); a sample is a second under it. Load below moves soon,
   * so it ages soon.
   */
  CALL_LIMIT("call-limit", Of.NODE, 1, 1e5, 60, 0.1),
  /** A tenant's part of the arrivals (share); samples are arrivals. */
  TENANT_PART("tenant-part", Of.TENANT, 0, 1, 128, 0.5);

  /** What a fact is about. */
  public enum Of {
    CLASS,
    TENANT,
    NODE
  }

  private final String word;
  private final Of of;
  private final double least;
  private final double most;
  private final double mostWeight;
  private final double halfLives;

  Kind(String word, Of of, double least, double most, double mostWeight, double halfLives) {
    this.word = word;
    this.of = of;
    this.least = least;
    this.most = most;
    this.mostWeight = mostWeight;
    this.halfLives = halfLives;
  }

  /** The kind of a name; empty where there is none. */
  public static Optional<Kind> of(String word) {
    return Arrays.stream(values()).filter(kind -> kind.word.equals(word)).findFirst();
  }

  /** Its name, the same for ever. */
  public String word() {
    return word;
  }

  /** What facts of this kind are about. */
  public Of of() {
    return of;
  }

  /** Whether a working node can have learnt such a value. */
  public boolean possible(double value) {
    return value >= least && value <= most; // no number compares as neither
  }

  /** No fact weighs more: what is seen must overtake it within as many samples (samples). */
  public double mostWeight() {
    return mostWeight;
  }

  /** How long it takes to lose half its weight, where facts in general take so long. */
  public double halfLife(double general) {
    return halfLives * general;
  }
}
