package puffinbarrow;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The few arrows between rooms that must not turn. */
class HouseTest {
    @Test
    void importsPointInOneDirection() {
        JavaClasses all = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("puffinbarrow");
        classes()
                .that()
                .resideInAPackage("puffinbarrow.control")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow.control", "java..")
                .check(all);
        classes()
                .that()
                .resideInAPackage("puffinbarrow")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow", "puffinbarrow.control", "java..")
                .check(all);
        classes()
                .that()
                .resideInAPackage("puffinbarrow.net")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow.net", "java..")
                .check(all);
        classes()
                .that()
                .resideInAPackage("puffinbarrow.resp")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow.resp", "java..")
                .check(all);
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
                .check(all);
        classes()
                .that()
                .resideInAPackage("puffinbarrow.proto")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("puffinbarrow.proto", "puffinbarrow.control", "java..")
                .check(all);
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
                .check(all);
        noClasses()
                .that()
                .resideInAnyPackage("puffinbarrow.wire", "puffinbarrow.config")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "puffinbarrow.net", "puffinbarrow.coordinator", "org.slf4j", "picocli", "io.micrometer..")
                .check(all);
        noClasses()
                .that()
                .resideOutsideOfPackages("puffinbarrow.standin", "puffinbarrow.day", "puffinbarrow.cli")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("puffinbarrow.standin")
                .check(all);
        noClasses()
                .that()
                .resideOutsideOfPackage("puffinbarrow.cli")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("puffinbarrow.cli")
                .check(all);
        noClasses()
                .that()
                .resideInAPackage("puffinbarrow.audit")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("puffinbarrow.coordinator")
                .check(all);
    }
}
