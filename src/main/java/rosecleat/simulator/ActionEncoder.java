package rosecleat.simulator;

import rosecleat.policy.PolicyActions;

/** Encodes the actions of one server's policy as records of the reply. */
final class ActionEncoder implements PolicyActions {
  private static final int RUN = 1000;
  private static final int REJECT = 1010;
  private static final int FAIL = 1020;
  private static final int CANCEL = 1030;
  private static final int CALL = 1040;
  private static final int SKIP_CALL = 1050;
  private static final int REMEMBER_KEY = 1060;
  private static final int FORGET_KEY = 1070;
  private static final int REPLAY_RESULT = 1080;
  private static final int SET_HEALTH = 1090;
  private static final int SET_LOAD_ADVICE = 1100;
  private static final int SET_IDLE_TIMEOUT = 1110;
  private static final int START_TIMER = 1120;
  private static final int LOG = 1130;

  /** The offset of a record's first field, which follows the code and the server. */
  private static final int FIRST_FIELD = ReplyFrame.FIRST_FIELD;

  /** The offset of the field that follows a request's id. */
  private static final int AFTER_ID = FIRST_FIELD + Long.BYTES;

  private static final int NO_RETRY = AFTER_ID + Integer.BYTES;
  private static final int HEALTHY = FIRST_FIELD + 1;
  private static final int TIMER_TAG = FIRST_FIELD + Integer.BYTES;

  private final ReplyFrame reply;
  private final int server;

  ActionEncoder(ReplyFrame reply, int server) {
    this.reply = reply;
    this.server = server;
  }

  private int add(int code) {
    return reply.add(code, server);
  }

  private int add(int code, long id) {
    int record = add(code);
    reply.putInt64(record + FIRST_FIELD, id);
    return record;
  }

  @Override
  public void run(long id) {
    add(RUN, id);
  }

  @Override
  public void reject(long id, long retryAfterUs, boolean noRetry) {
    int record = add(REJECT, id);
    reply.putUnsigned32(record + AFTER_ID, retryAfterUs);
    reply.putBoolean(record + NO_RETRY, noRetry);
  }

  @Override
  public void fail(long id) {
    add(FAIL, id);
  }

  @Override
  public void cancel(long id) {
    add(CANCEL, id);
  }

  @Override
  public void call(long id, long untilUs) {
    int record = add(CALL, id);
    reply.putInt64(record + AFTER_ID, untilUs);
  }

  @Override
  public void skipCall(long id) {
    add(SKIP_CALL, id);
  }

  @Override
  public void rememberKey(long id, long forUs) {
    int record = add(REMEMBER_KEY, id);
    reply.putUnsigned32(record + AFTER_ID, forUs);
  }

  @Override
  public void forgetKey(long id) {
    add(FORGET_KEY, id);
  }

  @Override
  public void replayResult(long id) {
    add(REPLAY_RESULT, id);
  }

  @Override
  public void setHealth(boolean healthy, boolean shallow) {
    int record = add(SET_HEALTH);
    reply.putBoolean(record + FIRST_FIELD, shallow);
    reply.putBoolean(record + HEALTHY, healthy);
  }

  @Override
  public void setLoadAdvice(double value) {
    int record = add(SET_LOAD_ADVICE);
    reply.putFloat32(record + FIRST_FIELD, (float) value);
  }

  @Override
  public void setIdleTimeout(long timeoutUs) {
    int record = add(SET_IDLE_TIMEOUT);
    reply.putUnsigned32(record + FIRST_FIELD, timeoutUs);
  }

  @Override
  public void startTimer(long inUs, long tag) {
    int record = add(START_TIMER);
    reply.putUnsigned32(record + FIRST_FIELD, inUs);
    reply.putInt64(record + TIMER_TAG, tag);
  }

  @Override
  public void log(String line) {
    reply.putText(add(LOG), line);
  }
}
