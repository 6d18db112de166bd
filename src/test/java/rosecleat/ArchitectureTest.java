package rosecleat;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Checks which packages may depend on which others: the core does not depend on protocols or the
 * network, and these do not depend on the policy or on saved state.
 */
class ArchitectureTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("rosecleat");

  private static String[] packages(String... names) {
    return Arrays.stream(names).map(name -> "rosecleat." + name + "..").toArray(String[]::new);
  }

  private static void check(ArchRule rule) {
    rule.check(ALL);
  }

  @Test
  void coreDependsOnNoFrontendOrNetwork() {
    check(
        noClasses()
            .that()
            .resideInAnyPackage(packages("core", "policy"))
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                packages(
                    "front",
                    "net",
                    "runtime",
                    "index",
                    "registry",
                    "admin",
                    "cli",
                    "node",
                    "config",
                    "simulator",
                    "state",
                    "store",
                    "facts")));
    check(
        noClasses()
            .that()
            .resideInAnyPackage(packages("core", "policy"))
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.nio.channels..", "java.net.."));
  }

  @Test
  void networkDependsOnNoPolicyOrState() {
    check(
        noClasses()
            .that()
            .resideInAnyPackage(packages("net", "front", "runtime", "index", "registry", "admin"))
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(packages("policy", "state", "store", "facts")));
  }

  @Test
  void storeDependsOnNoOtherPackage() {
    check(
        classes()
            .that()
            .resideInAPackage("rosecleat.store..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("rosecleat.store..", "java..", "com.google.protobuf.."));
  }

  @Test
  void factsDoNoInputOrOutput() {
    check(
        classes()
            .that()
            .resideInAPackage("rosecleat.facts..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("rosecleat.facts..", "java.lang..", "java.util.."));
  }

  @Test
  void membershipDoesNoInputOrOutputAndItsTransportDependsOnNoNode() {
    check(
        classes()
            .that()
            .resideInAPackage("rosecleat.fleet")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                "rosecleat.fleet",
                "rosecleat.fleet.wire..",
                "java.lang..",
                "java.util..",
                "java.nio",
                "java.nio.charset..",
                "com.google.protobuf.."));
    check(
        classes()
            .that()
            .resideInAPackage("rosecleat.fleet.transport..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("rosecleat.fleet..", "rosecleat.log..", "java.."));
  }

  @Test
  void routesAndPoolsDoNoInputOrOutput() {
    check(
        classes()
            .that()
            .resideInAPackage("rosecleat.routes")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                "rosecleat.routes..",
                "rosecleat.fleet",
                "rosecleat.fleet.wire..",
                "java.lang..",
                "java.util..",
                "java.nio",
                "java.nio.charset..",
                "java.security..",
                "com.google.protobuf.."));
    check(
        classes()
            .that()
            .resideInAPackage("rosecleat.pool..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("rosecleat.pool..", "java.lang..", "java.util.."));
  }

  @Test
  void nothingDependsOnTheCommandLineWhichAloneDependsOnTheNode() {
    check(
        noClasses()
            .that()
            .resideOutsideOfPackage("rosecleat.cli..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("rosecleat.cli.."));
    check(
        noClasses()
            .that()
            .resideOutsideOfPackages("rosecleat.cli..", "rosecleat.node..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("rosecleat.node.."));
  }

  @Test
  void savedStateDependsOnNoFrontendOrNetwork() {
    check(
        noClasses()
            .that()
            .resideInAPackage("rosecleat.state..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                packages(
                    "front",
                    "net",
                    "runtime",
                    "index",
                    "registry",
                    "admin",
                    "cli",
                    "node",
                    "config",
                    "simulator")));
  }
}
