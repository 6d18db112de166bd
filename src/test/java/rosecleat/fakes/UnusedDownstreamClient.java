package rosecleat.fakes;

import rosecleat.core.DownstreamClient;

/** A downstream client that ignores all calls, for tests whose runs make none. */
public final class UnusedDownstreamClient implements DownstreamClient {
  @Override
  public void call(String id, long untilUs, byte[] body) {}

  @Override
  public void cancel(String id) {}
}
