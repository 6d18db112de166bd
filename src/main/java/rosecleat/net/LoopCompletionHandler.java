package rosecleat.net;

import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/**
 * A completion handler that posts the result to the event loop, on whichever thread it is called.
 */
class LoopCompletionHandler<T> implements CompletionHandler<T, Void> {
  private final EventLoop loop;
  private final Consumer<T> onSuccess;
  private final Consumer<Throwable> onFailure;

  LoopCompletionHandler(EventLoop loop, Consumer<T> onSuccess, Consumer<Throwable> onFailure) {
    this.loop = loop;
    this.onSuccess = onSuccess;
    this.onFailure = onFailure;
  }

  @Override
  public void completed(T result, Void attachment) {
    loop.execute(() -> onSuccess.accept(result));
  }

  @Override
  public void failed(Throwable cause, Void attachment) {
    loop.execute(() -> onFailure.accept(cause));
  }
}
