import java.util.List;

/** Sends orders, which must run once at most, and counts those that workers ran. */
final class Orders {
    private final List<PlainWorker> workers;

    Orders(List<PlainWorker> workers) {
        this.workers = workers;
    }

    /** Sends this many orders with the key, to the routers by turns; returns how many ran. */
    int ran(List<RouterProcess> routers, String key, int count) {
        int ran = 0;
        for (int number = 0; number < count; number++) {
            RouterProcess router = routers.get(number % routers.size());
            Caller.Answer answer = Caller.order(router, "/orders/" + number, key);
            boolean runs = workers.stream().anyMatch(each -> each.ran.containsKey(answer.attempt()));
            Record.line(
                    "request %s at %s with %s: %s%s",
                    answer.attempt(),
                    router.name(),
                    key.isEmpty() ? "no key" : "key " + key,
                    answer.status() == 0 ? answer.failure() : answer.status(),
                    runs ? ", it ran" : "");
            ran += runs ? 1 : 0;
        }
        return ran;
    }
}
