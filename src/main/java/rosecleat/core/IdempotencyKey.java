package rosecleat.core;

/**
 * Identifies all attempts of one idempotent request. Made of names, which stay valid when the
 * positions of classes and tenants change.
 */
record IdempotencyKey(String className, String tenantName, String key) {
  /** The key of an idempotent request. */
  static IdempotencyKey of(InFlightRequest request) {
    return new IdempotencyKey(
        request.request().className(), request.tenantName(), request.request().idempotencyKey());
  }

  /** The key as peer processes know it. */
  String name() {
    return className + '\0' + tenantName + '\0' + key;
  }
}
