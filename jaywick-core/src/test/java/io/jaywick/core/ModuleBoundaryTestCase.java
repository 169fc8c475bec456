package io.jaywick.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

class ModuleBoundaryTestCase {

    /** Guards against decision logic that opens sockets or files, or runs threads of Reactor or Netty. */
    @Test
    void coreDoesNoInputOrOutput() {
        JavaClasses classes = new ClassFileImporter().importPackages("io.jaywick.core");
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "reactor..", "io.netty..")
                .check(classes);
    }
}
