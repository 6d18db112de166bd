package rosecleat.front.uwsgi;

import java.util.Set;

/**
 * The attributes by which the frontend tells the runners where a request runs. They travel beside
 * the vars that are passed on to the service, and are not passed on themselves.
 */
final class RunAttributes {
  /** The address of the backend as {@code HOST:PORT}, where it is fixed. */
  static final String BACKEND_ADDRESS = "rosecleat.backend";

  /** The name of the service whose instances execute the request, where there is no address. */
  static final String SERVICE = "rosecleat.service";

  /** The id of the operation. */
  static final String OPERATION = "rosecleat.operation";

  /** When the idempotency key expires, in Unix microseconds. */
  static final String KEY_EXPIRES_AT = "rosecleat.until";

  /** All of them. */
  static final Set<String> NAMES = Set.of(BACKEND_ADDRESS, SERVICE, OPERATION, KEY_EXPIRES_AT);

  private RunAttributes() {}
}
