package rosecleat.front.uwsgi;

import java.util.List;
import java.util.stream.Stream;
import rosecleat.core.RequestIdentity.ClassAndTenant;

/** The classes and tenants that other files may have assigned to a request. */
final class PossibleAssignments {
  /** Maximum number of assignments that are searched for a request, since each costs file reads. */
  static final int MAX_ASSIGNMENTS = 256;

  private PossibleAssignments() {}

  /**
   * Returns combinations of classes and tenants: first those that differ from the assignment in
   * force in the tenant alone, then in the class alone, then in both.
   */
  static List<ClassAndTenant> nearest(
      List<String> classNames, List<String> tenantNames, ClassAndTenant inForce) {
    Stream<ClassAndTenant> sameClass =
        tenantNames.stream().map(tenant -> new ClassAndTenant(inForce.className(), tenant));
    Stream<ClassAndTenant> sameTenant =
        classNames.stream().map(name -> new ClassAndTenant(name, inForce.tenantName()));
    Stream<ClassAndTenant> all =
        classNames.stream()
            .flatMap(name -> tenantNames.stream().map(tenant -> new ClassAndTenant(name, tenant)));
    return Stream.of(sameClass, sameTenant, all)
        .flatMap(each -> each)
        .distinct()
        .limit(MAX_ASSIGNMENTS)
        .toList();
  }
}
