/** The operator lowers the idle timeout; clients download on slow links. */
final class DownloadCase {

    private static final int CLIENTS = 6;
    private static final int REQUESTS = 20;
    private static final int LINK_BITS_PER_SECOND = 7_700_000;

    /** The rule allows as many connections to be closed without an answer. */
    private static final int MAX_CLOSED = 3;

    private DownloadCase() {}

    public static void main(String[] args) {
        Deployment.runCase(args, (deployment, trouble) -> {
            DownloadClient.startDeployment(deployment);
            if (trouble) {
                deployment.idleTimeout = "2000ms";
                DownloadClient.writeConfig(deployment, 9);
                deployment.log.line("the operator lowers idle-timeout from 15 s to 2 s");
                Thread.sleep(4_000);
            }
            DownloadClient.Totals totals = new DownloadClient.Totals();
            DownloadClient.runAll(deployment, totals, CLIENTS, REQUESTS, LINK_BITS_PER_SECOND, true);
            boolean broken = totals.endedConnections.get() > MAX_CLOSED;
            String verdict = totals + "; LOST " + (broken ? "is broken" : "holds");
            deployment.log.line(verdict);
            System.out.println(verdict);
            return broken;
        });
    }
}
