package rosecleat;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Which package may know which: the core knows no wire, and the wires know nothing of the module. */
class ArchitectureTest {
  private static final JavaClasses ALL = new ClassFileImporter()
      .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("rosecleat");

  private static String[] packages(String... names) {
    return Arrays.stream(names).map(name -> "rosecleat." + name + "..").toArray(String[]::new);
  }

  private static void hold(ArchRule rule) {
    rule.check(ALL);
  }

  @Test void theCoreKnowsNoFrontAndNoNetwork() {
    hold(noClasses().that().resideInAnyPackage(packages("core", "policy")).should().dependOnClassesThat()
        .resideInAnyPackage(packages("front", "net", "runtime", "index", "roster", "mgmt", "cli", "config", "benchlink",
            "state", "store", "knowledge")));
    hold(noClasses().that().resideInAnyPackage(packages("core", "policy")).should().dependOnClassesThat()
        .resideInAnyPackage("java.nio.channels..", "java.net.."));
  }

  @Test void theNetworkKnowsNothingOfTheModule() {
    hold(noClasses().that().resideInAnyPackage(packages("net", "front", "runtime", "index", "roster", "mgmt")).should()
        .dependOnClassesThat().resideInAnyPackage(packages("policy", "state", "store", "knowledge")));
  }

  @Test void theStoreKnowsNothingOfWhatItKeeps() {
    hold(classes().that().resideInAPackage("rosecleat.store..").should().onlyDependOnClassesThat()
        .resideInAnyPackage("rosecleat.store..", "java..", "com.google.protobuf.."));
  }

  @Test void decisionsOnFactsAreFreeOfInputAndOutput() {
    hold(classes().that().resideInAPackage("rosecleat.knowledge..").should().onlyDependOnClassesThat()
        .resideInAnyPackage("rosecleat.knowledge..", "java.lang..", "java.util.."));
  }

  @Test void whatANodeKeepsKnowsNoWire() {
    hold(noClasses().that().resideInAPackage("rosecleat.state..").should().dependOnClassesThat()
        .resideInAnyPackage(packages("front", "net", "runtime", "index", "roster", "mgmt", "cli", "config", "benchlink")));
  }
}
