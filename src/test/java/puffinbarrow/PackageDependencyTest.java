package puffinbarrow;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks which packages may depend on which. */
class PackageDependencyTest {
    @Test
    void packagesDependOnlyOnPermittedPackages() {
        JavaClasses program = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("puffinbarrow");
        classes()
                .that()
                .resideInAPackage("puffinbarrow.control")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow.control", "java..")
                .check(program);
        classes()
                .that()
                .resideInAPackage("puffinbarrow")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow", "puffinbarrow.control", "java..")
                .check(program);
        classes()
                .that()
                .resideInAPackage("puffinbarrow.net")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow.net", "java..")
                .check(program);
        classes()
                .that()
                .resideInAPackage("puffinbarrow.resp")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow.resp", "java..")
                .check(program);
        classes()
                .that()
                .resideInAPackage("puffinbarrow.platform")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "puffinbarrow.platform",
                        "puffinbarrow.control",
                        "puffinbarrow.net",
                        "puffinbarrow.resp",
                        "puffinbarrow.wire",
                        "puffinbarrow.coordinator",
                        "com.fasterxml.jackson.core",
                        "java..")
                .check(program);
        classes()
                .that()
                .resideInAPackage("puffinbarrow.proto")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow.proto", "puffinbarrow.control", "java..")
                .check(program);
        noClasses()
                .that()
                .resideInAPackage("puffinbarrow.lease")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "puffinbarrow.net",
                        "puffinbarrow.coordinator",
                        "puffinbarrow.proto",
                        "java.net",
                        "java.nio..",
                        "java.util.concurrent..",
                        "org.slf4j")
                .check(program);
        noClasses()
                .that()
                .resideInAnyPackage("puffinbarrow.wire", "puffinbarrow.config")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "puffinbarrow.net", "puffinbarrow.coordinator", "org.slf4j", "picocli", "io.micrometer..")
                .check(program);
        noClasses()
                .that()
                .resideOutsideOfPackages("puffinbarrow.standin", "puffinbarrow.day", "puffinbarrow.cli")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("puffinbarrow.standin")
                .check(program);
        noClasses()
                .that()
                .resideOutsideOfPackage("puffinbarrow.cli")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("puffinbarrow.cli")
                .check(program);
        noClasses()
                .that()
                .resideInAPackage("puffinbarrow.audit")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("puffinbarrow.coordinator")
                .check(program);
    }
}
