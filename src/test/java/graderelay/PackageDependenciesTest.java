package graderelay;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import graderelay.core.Action;
import graderelay.core.WorkerCommand;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The packages depend on each other in one direction only. */
class PackageDependenciesTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("graderelay");

  /** The packages as docs/architecture.md draws them; those of one layer may not share a cycle. */
  private static final List<List<String>> TOP_DOWN =
      List.of(
          List.of("cli"),
          List.of("service"),
          List.of("api"),
          List.of("worker"),
          List.of("state"),
          List.of("peer", "cloud"),
          List.of("config"),
          List.of("wire"),
          List.of("core", "net"),
          List.of("quota", "features"));

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
  void eachPackageUsesOnlyPackagesBelowIt() {
    for (int layer = 0; layer < TOP_DOWN.size(); layer++) {
      String[] above =
          TOP_DOWN.subList(0, layer).stream()
              .flatMap(List::stream)
              .map(name -> "graderelay." + name + "..")
              .toArray(String[]::new);
      for (String name : TOP_DOWN.get(layer)) {
        noClasses()
            .that()
            .resideInAPackage("graderelay." + name + "..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(above)
            .check(CLASSES);
      }
    }
  }

  /** Every reap passes the check that no copy of the attempt's launch can start it again. */
  @Test
  void reapsAreCreatedInOnePlaceOnly() {
    noClasses()
        .that()
        .doNotHaveFullyQualifiedName("graderelay.core.HeartbeatCommandSelector")
        .should()
        .callConstructor(WorkerCommand.Reap.class, String.class, int.class)
        .check(CLASSES);
  }

  /** Every direct message takes a term that fences launches which block a stop. */
  @Test
  void directMessagesAreCreatedInTwoPlacesOnly() {
    noClasses()
        .that()
        .doNotHaveFullyQualifiedName("graderelay.core.DirectCommandBatch")
        .and()
        .doNotHaveFullyQualifiedName("graderelay.core.SilentWorkerProber")
        .should()
        .callConstructor(
            Action.SendCommands.class,
            String.class,
            String.class,
            long.class,
            long.class,
            List.class)
        .check(CLASSES);
  }

  @Test
  void quotaAndFeaturesDependOnNothingOfOurs() {
    noClasses()
        .that()
        .resideInAnyPackage("graderelay.quota..", "graderelay.features..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "graderelay.core..", "graderelay.wire..", "graderelay.net..", "graderelay.state..")
        .check(CLASSES);
  }
}
