package rosecleat.front.uwsgi;

import java.util.Set;

/**
 * The names of the attributes for the choice of a request's backend. The frontend adds them to the
 * vars of the request; the runner removes them before it sends the vars to the service.
 */
final class RunAttributes {
  /** The address of the backend as {@code HOST:PORT}, if the address is fixed. */
  static final String BACKEND_ADDRESS = "rosecleat.backend";

  /** The name of the service whose instances execute the request, if no address is fixed. */
  static final String SERVICE = "rosecleat.service";

  /** The id of the operation. */
  static final String OPERATION = "rosecleat.operation";

  /** The time when the idempotency key expires, in Unix microseconds. */
  static final String KEY_EXPIRES_AT = "rosecleat.until";

  /** The names of all attributes. */
  static final Set<String> NAMES = Set.of(BACKEND_ADDRESS, SERVICE, OPERATION, KEY_EXPIRES_AT);

  private RunAttributes() {}
}
