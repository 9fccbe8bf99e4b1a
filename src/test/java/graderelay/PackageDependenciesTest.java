package graderelay;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The packages depend on each other in one direction only. */
class PackageDependenciesTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("graderelay");

  @Test
  void packagesHaveNoCycles() {
    slices().matching("graderelay.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void theCoreKnowsNothingOfTheOutside() {
    noClasses()
        .that()
        .resideInAPackage("graderelay.core..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "graderelay.wire..",
            "graderelay.net..",
            "graderelay.state..",
            "graderelay.config..",
            "graderelay.service..",
            "com.fasterxml.jackson..",
            "io.netty..",
            "java.io..",
            "java.net..")
        .check(CLASSES);
  }

  @Test
  void constantsDependOnNothingOfOurs() {
    noClasses()
        .that()
        .resideInAPackage("graderelay.constants..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "graderelay.core..", "graderelay.wire..", "graderelay.net..", "graderelay.state..")
        .check(CLASSES);
  }
}
