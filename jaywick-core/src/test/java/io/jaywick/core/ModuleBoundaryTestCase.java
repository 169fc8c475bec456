package io.jaywick.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

class ModuleBoundaryTestCase {

    /** Guards against decision code that opens sockets, files or threads of its own. */
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
