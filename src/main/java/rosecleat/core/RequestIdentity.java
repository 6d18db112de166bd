package rosecleat.core;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Identifies all attempts of one idempotent request by what their callers send. No part of it may
 * depend on a configuration that can change between two attempts.
 *
 * <p>A request is recorded under one or more names, and an attempt searches for earlier attempts
 * under one or more names. The first of either is its primary name, which no other request has:
 *
 * <ul>
 *   <li>A caller that states class and tenant itself has the primary name class, tenant and key.
 *       Where a site has no tenants the tenant is unstated; it then matches any tenant, because
 *       tenants can be added or removed between two attempts.
 *   <li>A caller that states its team and a method and path has these and the key as primary name.
 *       The class and tenant to which the configuration maps them only relate it to attempts by
 *       callers that state class and tenant, never to another team or path.
 * </ul>
 */
public final class RequestIdentity {
  /**
   * The class and the tenant that a configuration assigns to the operation and the team of a
   * request.
   *
   * @param className the name of the class
   * @param tenantName the name of the tenant
   */
  public record ClassAndTenant(String className, String tenantName) {}

  /**
   * A name that processes of earlier versions may have given to the request.
   *
   * @param name the name
   * @param nameWithAnyTenant the name that processes of this version record in addition to it
   */
  record EarlierName(String name, String nameWithAnyTenant) {}

  private static final char SEPARATOR = '\0';
  private static final String UNSTATED_TENANT = "";

  /** Stands for all tenants in the name under which attempts without a tenant search. */
  private static final String ANY_TENANT = "\0any";

  /** Maximum length of a tenant's name as part of a name; a longer one is replaced by a digest. */
  private static final int MAX_TENANT_CHARS = 256;

  private static final HexFormat HEX = HexFormat.of();

  private final List<String> recordedNames;
  private final List<String> searchedNames;
  private final boolean resolved;
  private final byte[] contentDigest;
  private final byte[] payloadDigest;
  private final Supplier<List<EarlierName>> namesByEarlierVersions;

  private RequestIdentity(
      List<String> recordedNames,
      List<String> searchedNames,
      boolean resolved,
      byte[] contentDigest,
      byte[] payloadDigest,
      Supplier<List<EarlierName>> namesByEarlierVersions) {
    this.recordedNames = List.copyOf(recordedNames);
    this.searchedNames = List.copyOf(searchedNames);
    this.resolved = resolved;
    this.contentDigest = contentDigest;
    this.payloadDigest = payloadDigest;
    this.namesByEarlierVersions = namesByEarlierVersions;
  }

  /**
   * Returns the identity of a request whose caller states class and tenant.
   *
   * @param tenantName the tenant as sent; empty if the caller states none
   * @param key the idempotency key as sent
   * @param body the body as sent, which is also passed to the runner
   */
  public static RequestIdentity ofStatedClass(
      String className, Optional<String> tenantName, String key, byte[] body) {
    String unstated = classTenantAndKey(className, UNSTATED_TENANT, key);
    String any = classTenantAndKey(className, ANY_TENANT, key);
    byte[] digest = Sha256.digest(body);
    boolean isStated = tenantName.isPresent();
    String stated = isStated ? classTenantAndKey(className, bounded(tenantName.get()), key) : "";
    return new RequestIdentity(
        isStated ? List.of(stated, any) : List.of(unstated),
        isStated ? List.of(stated, unstated) : List.of(unstated, any),
        false,
        digest,
        digest,
        List::of);
  }

  /**
   * Returns the identity of a request whose caller states its team, a method and a path.
   *
   * @param key the idempotency key as sent
   * @param payload the bytes that are passed to the runner
   * @param resolutions the class and tenant that the configuration in force assigns to the request,
   *     followed by those that earlier configurations assigned within the window of the key
   * @param otherResolutions those that files read by other processes may assign
   */
  public static RequestIdentity ofTeam(
      SentRequest sent,
      String key,
      byte[] payload,
      List<ClassAndTenant> resolutions,
      Supplier<List<ClassAndTenant>> otherResolutions) {
    String primary = "request" + SEPARATOR + HEX.formatHex(digest(sent, key));
    List<String> searched = new ArrayList<>();
    searched.add(primary);
    for (ClassAndTenant resolution : resolutions) {
      searched.add(classTenantAndKey(resolution.className, resolution.tenantName, key));
      searched.add(classTenantAndKey(resolution.className, UNSTATED_TENANT, key));
    }
    return new RequestIdentity(
        List.of(primary, searched.get(1)),
        searched.stream().distinct().toList(),
        true,
        Sha256.digest(Sha256.digest(utf8(sent.query())), sent.body()),
        Sha256.digest(payload),
        () -> otherResolutions.get().stream().map(each -> earlierName(each, key)).toList());
  }

  private static EarlierName earlierName(ClassAndTenant resolution, String key) {
    return new EarlierName(
        classTenantAndKey(resolution.className, resolution.tenantName, key),
        classTenantAndKey(resolution.className, ANY_TENANT, key));
  }

  private static byte[] digest(SentRequest sent, String key) {
    return Sha256.digest(
        Sha256.digest(utf8(sent.team())),
        Sha256.digest(utf8(sent.method())),
        Sha256.digest(utf8(key)),
        utf8(sent.path()));
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the name of a class, a tenant and a key. Processes of earlier versions know it too. */
  private static String classTenantAndKey(String className, String tenantName, String key) {
    return className + SEPARATOR + tenantName + SEPARATOR + key;
  }

  private static String bounded(String tenantName) {
    return tenantName.length() <= MAX_TENANT_CHARS && tenantName.indexOf(SEPARATOR) < 0
        ? tenantName
        : HEX.formatHex(Sha256.digest(utf8(tenantName)));
  }

  /** Returns the name that no other request has. */
  String primaryName() {
    return recordedNames.get(0);
  }

  /** Returns the names under which the request is recorded, the primary name first. */
  List<String> recordedNames() {
    return recordedNames;
  }

  /** Returns the further names under which the request is recorded. */
  List<String> aliases() {
    return recordedNames.subList(1, recordedNames.size());
  }

  /** Returns the names under which an earlier attempt may be recorded, the primary name first. */
  List<String> searchedNames() {
    return searchedNames;
  }

  /**
   * Returns names that processes of earlier versions may have given to the request, if they had
   * read files that assign another class and tenant to it.
   */
  List<EarlierName> namesByEarlierVersions() {
    return namesByEarlierVersions.get();
  }

  /** Returns whether the configuration, and not the caller, determines the class and tenant. */
  boolean resolved() {
    return resolved;
  }

  /**
   * Returns whether an attempt that is recorded under a name which this one searches is an attempt
   * of the same request.
   *
   * @param otherResolved whether the configuration determined the other's class and tenant
   */
  boolean matchesUnder(String name, boolean otherResolved) {
    return !resolved || !otherResolved || name.equals(primaryName());
  }

  /** Returns the digest of what the caller sent beside the parts of its primary name. */
  byte[] contentDigest() {
    return contentDigest;
  }

  /**
   * Returns the digest of what is passed to the runner, which can be compared between callers that
   * state a class and callers that do not.
   */
  byte[] payloadDigest() {
    return payloadDigest;
  }
}
