package rosecleat.core;

/**
 * Identifies all attempts of one idempotent request. Refers to its class and tenant by name,
 * because their indices can change when the configuration is reloaded.
 */
record IdempotencyKey(String className, String tenantName, String key) {
  /** Returns the key of an idempotent request. */
  static IdempotencyKey of(InFlightRequest request) {
    return new IdempotencyKey(
        request.request().className(), request.tenantName(), request.request().idempotencyKey());
  }

  /** Returns the text by which all processes of this node identify the key. */
  String name() {
    return className + '\0' + tenantName + '\0' + key;
  }
}
