/** Settings of a small deployment, in the form of the example's. */
final class Settings {

    private Settings() {
    }

    /** Booking servers: keys stay with the build on trial, lists are asked for. The state: REVISION/WAVE/STATE/SHARE. */
    static String booking(String name, int port, Bench.Discovery discovery, Bench.Desk desk, String state) {
        String[] s = state.split("/");
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery.port
                + "\",\"seed\":\"" + String.format("%016x", new java.util.Random().nextLong()) + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"rollouts\":{\"address\":\"127.0.0.1:" + desk.port + "\",\"news\":{\"Revision\":" + s[0]
                + ",\"Wave\":" + s[1] + ",\"State\":\"" + s[2] + "\",\"MaxShare\":" + s[3] + ",\"AgeMs\":1000}},"
                + "\"known\":" + discovery.whole() + ","
                + "\"settings\":{\"TickNs\":5000000,\"FleetSize\":1,\"RegistryMode\":\"ask\",\"Classes\":["
                + "{\"Name\":\"trip-status\",\"AimNs\":1000000000,\"GiveUpNs\":3000000000,\"Effect\":\"read_like\"},"
                + "{\"Name\":\"trip-book\",\"AimNs\":1500000000,\"GiveUpNs\":5000000000,\"Effect\":\"idempotency_key\","
                + "\"KeyScope\":\"zone\",\"WindowNs\":10000000000},"
                + "{\"Name\":\"crew-assign\",\"AimNs\":800000000,\"GiveUpNs\":2000000000,\"Effect\":\"non_idempotent\"}],"
                + "\"Accounts\":[{\"Name\":\"acme\",\"QuotaPerS\":240.0,\"Share\":1.0}],"
                + "\"Ceilings\":{\"MaxAttempts\":5,\"ConnectTimeoutNs\":250000000,\"IdleCloseNs\":10000000000,"
                + "\"RetryAfter\":true,\"MaxRetryAfterNs\":500000000},"
                + "\"Rules\":{\"StopSendingWithinNs\":500000000,\"MustAskInNs\":10000000000,\"ColdFrom\":0.35,"
                + "\"WarmAfterNs\":4600000000,\"FallMultiple\":2.5,\"TipAfterNs\":1000000000},"
                + "\"FamilyInfo\":{\"GateMode\":\"by_count\",\"AyesNeeded\":2,\"NoesNeeded\":1,\"VotesPerS\":30,"
                + "\"VoteStandsNs\":6000000000,\"SoakNs\":2000000000,\"CallTimeoutNs\":2000000000,"
                + "\"Caps\":[0.042,0.168,0.56,1.0],\"Waves\":[0.03,0.12,0.4,1.0],\"WindowNs\":2000000000,"
                + "\"Uncounted\":1.0,\"CapScope\":\"all\",\"Shielded\":0,\"KeysStay\":true}}}";
    }
}
