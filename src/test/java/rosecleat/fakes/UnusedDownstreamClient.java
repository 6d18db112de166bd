package rosecleat.fakes;

import rosecleat.core.DownstreamClient;

/** A client for tests whose runs make no downstream calls. */
public final class UnusedDownstreamClient implements DownstreamClient {
  @Override
  public void call(String id, long untilUs, byte[] body) {}

  @Override
  public void cancel(String id) {}
}
