package rosecleat.fleet;

import rosecleat.fleet.wire.SyncFrame;

/**
 * One side of a push/pull synchronization of at most four frames:
 *
 * <ol>
 *   <li>the opener sends its digest;
 *   <li>the responder reports that its own digest is equal, which ends the session, or sends all
 *       members and the heads of all records (records without their payloads);
 *   <li>the opener sends all members, the records that the responder lacks, and the heads of those
 *       that the opener lacks;
 *   <li>the responder sends those records.
 * </ol>
 */
final class SyncSession implements ExchangeSession {
  private final ProtocolContext context;
  private final SyncFrames frames;
  private final MessageReceiver receiver;
  private final boolean opener;
  private int step;

  SyncSession(ProtocolContext context, MessageReceiver receiver, boolean opener) {
    this.context = context;
    this.receiver = receiver;
    this.opener = opener;
    frames = new SyncFrames(context);
  }

  @Override
  public byte[] nextFrame(byte[] received, long nowUs) {
    context.setEventTimeUs(nowUs);
    SyncFrame frame = null;
    if (received != null) {
      frame = WireCodec.decodeExchange(received, context.cluster()).orElse(null);
      if (!receiver.onExchange(frame, nowUs)) {
        return null;
      }
    }
    step++;
    return opener ? nextOfOpener(frame) : nextOfResponder(frame);
  }

  private byte[] nextOfOpener(SyncFrame received) {
    if (step == 1) {
      return encode(frames.header());
    }
    if (step == 2 && !received.getInSync()) {
      return encode(
          frames
              .allMembers()
              .addAllRecords(frames.recordsMissingAtPeer(received.getHeadsList()))
              .addAllRequestedHeads(frames.headsMissingLocally(received.getHeadsList())));
    }
    return null;
  }

  private byte[] nextOfResponder(SyncFrame received) {
    if (step == 1) {
      boolean same = received.getSyncDigest() == context.syncDigest();
      return encode(same ? frames.header().setInSync(true) : frames.allMembersAndRecordHeads());
    }
    if (step == 2) {
      return encode(
          frames.header().addAllRecords(frames.requestedRecords(received.getRequestedHeadsList())));
    }
    return null;
  }

  private byte[] encode(SyncFrame.Builder frame) {
    return Checksum.attach(frame.build().toByteArray(), context.cluster());
  }
}
