package rosecleat.fleet;

/**
 * A ping that is out, of this process's own or for another that asked. All times by this process's
 * clock.
 */
final class Probe {
  final int seq;
  final Member target;

  /**
   * When others are asked, or (for another) when it is told that no answer came; none once that is
   * done.
   */
  long askUs;

  /** When it has failed. */
  long endUs;

  /** Whether it is begun for a suspicion that another told. */
  final boolean asWitness;

  /** Whether another holds the target for dead: no answer settles it. */
  boolean doubts;

  /** Others that were asked, and those of them that said they had no answer either. */
  int asked;

  int nacks;

  /** For another: where its answer goes, and under which number. */
  final Endpoint asker;

  final int askerSeq;

  Probe(
      int seq,
      Member target,
      long askUs,
      long endUs,
      boolean asWitness,
      Endpoint asker,
      int askerSeq) {
    this.seq = seq;
    this.target = target;
    this.askUs = askUs;
    this.endUs = endUs;
    this.asWitness = asWitness;
    this.asker = asker;
    this.askerSeq = askerSeq;
  }
}
