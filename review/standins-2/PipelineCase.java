/** Many users come at once and download on slow links; their answers wait at the node for the links. */
final class PipelineCase {

    private static final int CLIENTS = 8;

    /** 1.6 times as many. */
    private static final int BURST_CLIENTS = 13;

    private static final int REQUESTS = 22;
    private static final int LINK_BITS_PER_SECOND = 7_700_000;

    private PipelineCase() {}

    public static void main(String[] args) {
        Deployment.runCase(args, (deployment, trouble) -> {
            DownloadClient.startDeployment(deployment);
            DownloadClient.Totals totals = new DownloadClient.Totals();
            DownloadClient.runAll(
                    deployment, totals, trouble ? BURST_CLIENTS : CLIENTS, REQUESTS, LINK_BITS_PER_SECOND, false);
            boolean broken = totals.foreign.get() > 0;
            String verdict = totals + "; MIXED " + (broken ? "is broken" : "holds");
            deployment.log.line(verdict);
            System.out.println(verdict);
            return broken;
        });
    }
}
