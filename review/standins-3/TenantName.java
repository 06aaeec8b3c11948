import java.util.List;

/** A config takes a tenant's key away and brings a tenant whose name holds a blank. */
final class TenantName {
    private static final int COUNT = 10;

    /** Longer than config_apply_ms (2 s) and revoke_ms (5 s) together. */
    private static final int APPLY_MILLIS = 8_000;

    /** Longer than recover_s. */
    private static final int RECOVER_MILLIS = 13_000;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, TenantName::play);
    }

    private static int play(Case with) throws Exception {
        Store store = new Store();
        Config config = new Config(store, 0);
        config.tenant("tenant-1", "key-1");
        config.tenant("tenant-2", "key-2");
        config.plain("orders", "/orders/", "desk");
        config.service("desk");
        config.publish();
        Orders orders =
                new Orders(
                        List.of(
                                new PlainWorker(store, "desk", "i-1"),
                                new PlainWorker(store, "desk", "i-2")));
        List<RouterProcess> routers = with.startRouters(2, store);
        Record.sleep(4_000);
        boolean sound =
                orders.ran(routers, "key-1", COUNT) == COUNT
                        && orders.ran(routers, "key-2", COUNT) == COUNT
                        && orders.ran(routers, "key-3", COUNT) == 0;
        if (!sound) {
            return Case.COULD_NOT_RUN;
        }
        config.removeTenant("tenant-2");
        config.tenant(with.trouble ? "Feria Sur" : "feria-sur", "key-3");
        config.publish();
        Record.sleep(APPLY_MILLIS);
        int kept = orders.ran(routers, "key-1", COUNT);
        int dropped = orders.ran(routers, "key-2", COUNT);
        int added = orders.ran(routers, "key-3", COUNT);
        Record.line(
                "8 s after the config, of %d each ran: with the key that stays %d, with the key"
                        + " that was dropped %d, with the new key %d",
                COUNT, kept, dropped, added);
        for (RouterProcess router : routers) {
            router.signal("KILL");
            router.awaitEnd();
        }
        for (RouterProcess router : routers) {
            router.start();
        }
        Record.sleep(RECOVER_MILLIS);
        int ready = (int) routers.stream().filter(RouterProcess::isReady).count();
        int recovered = orders.ran(routers, "key-1", COUNT);
        Record.line(
                "13 s after all routers were killed and started again, %d of %d are ready, and with"
                        + " the key that stays %d of %d ran",
                ready, routers.size(), recovered, COUNT);
        boolean held = dropped == 0 && added == COUNT && recovered == COUNT;
        return held ? Case.HELD : Case.BROKEN;
    }
}
