import java.util.List;

/** A config removes the last tenant with its key. */
final class LastTenant {
    private static final int COUNT = 10;

    /** Longer than config_apply_ms (2 s) and revoke_ms (5 s) together. */
    private static final int APPLY_MILLIS = 8_000;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, LastTenant::play);
    }

    private static int play(Case with) throws Exception {
        Store store = new Store();
        Config config = new Config(store, 0);
        config.tenant("tenant-1", "key-1");
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
                        && orders.ran(routers, "never-held", COUNT) == 0;
        if (!sound) {
            return Case.COULD_NOT_RUN;
        }
        if (with.trouble) {
            config.removeTenant("tenant-1");
        }
        config.publish();
        Record.sleep(APPLY_MILLIS);
        int tenants = orders.ran(routers, "key-1", COUNT);
        int strangers = orders.ran(routers, "never-held", COUNT);
        int keyless = orders.ran(routers, "", COUNT);
        Record.line(
                "8 s after the config, of %d each ran: with the tenant's key %d, with a key that no"
                        + " config ever held %d, without a key %d",
                COUNT, tenants, strangers, keyless);
        boolean tenantHeld = with.trouble ? tenants == 0 : tenants == COUNT;
        return tenantHeld && strangers == 0 && keyless == 0 ? Case.HELD : Case.BROKEN;
    }
}
