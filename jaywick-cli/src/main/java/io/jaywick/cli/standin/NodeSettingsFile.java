package io.jaywick.cli.standin;

import io.jaywick.core.settings.ListenSettings;
import io.jaywick.core.snapshot.Server;

/** Formats the settings file of a node. */
final class NodeSettingsFile {

    private NodeSettingsFile() {}

    static String format(Server server, ListenSettings listen, String target, String platform, String sourceRegion) {
        return """
                [node]
                server = "%s"
                dataCentre = "%s"
                region = "%s"
                service = "%s"

                [listen]
                peerAddress = "%s"
                egressAddress = "%s"
                ingressAddress = "%s"
                adminAddress = "%s"

                [target]
                address = "%s"

                [source]
                address = "%s"
                region = "%s"
                """
                .formatted(
                        server.name(),
                        server.dataCentre().name(),
                        server.dataCentre().region(),
                        server.service(),
                        listen.peerAddress(),
                        listen.egressAddress(),
                        listen.ingressAddress(),
                        listen.adminAddress(),
                        target,
                        platform,
                        sourceRegion);
    }
}
