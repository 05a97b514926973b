/** An agent is drained, killed and restarted, and drained again. */
final class DrainGivenAgain {

    private DrainGivenAgain() {
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, DrainGivenAgain::run);
    }

    private static boolean run(Bench bench, boolean trouble) throws Exception {
        ManagedFleet fleet = new ManagedFleet(bench, 2);
        if (!fleet.command("drain name=a1").endsWith("\n0")) {
            throw new Bench.CannotRun("the first drain was not carried out");
        }
        Bench.await("a drained a1", 5000, () -> !fleet.isServing(0));
        if (trouble) {
            fleet.killAndRestart(0);
            Bench.await("the manager's word of the restart", 5000, () -> fleet.command("list name=a1").contains(" no "));
        } else {
            Bench.sleep(2000);
        }
        String report = fleet.command("drain name=a1");
        Bench.sleep(2000);
        boolean saysDone = report.endsWith("\n0") && report.contains("DONE") && report.contains("APPLIED");
        boolean isServing = fleet.isServing(0);
        fleet.command("list");
        bench.say("the second drain was " + (saysDone ? "reported as done" : "not reported as done") + "; two seconds later a1 "
                + (isServing ? "takes clients" : "takes no clients"));
        return !(saysDone && isServing);
    }
}
