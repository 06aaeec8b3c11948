package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Stands in for the platform's list of live and leaving VMs, which lags behind the truth. */
public final class VmListStandIn implements AutoCloseable {
    private static final String VMS = "/vms";

    private final StandInServer server;
    private final Map<String, VmEntry> current = new TreeMap<>();
    private final Lagging<List<VmEntry>> shown;

    private VmListStandIn(Duration lag, InstantSource clock) {
        shown = new Lagging<>(List.of(), lag, clock);
        server = new StandInServer(this::handle, call -> !call.method().equals("GET"), () -> {});
    }

    /** Starts an empty list that shows each change after the lag. */
    public static VmListStandIn start(int port, Duration lag, InstantSource clock) {
        Objects.requireNonNull(clock, "clock");
        if (lag.isNegative()) {
            throw new IllegalArgumentException("The lag can't be negative: " + lag);
        }
        VmListStandIn standIn = new VmListStandIn(lag, clock);
        standIn.server.bind(port);
        return standIn;
    }

    public int port() {
        return server.port();
    }

    public String url() {
        return server.url();
    }

    public void setFault(Fault fault) {
        server.setFault(fault);
    }

    public JsonNode calls() {
        return server.calls();
    }

    /** Replaces the whole list. */
    public synchronized void replace(Collection<VmEntry> vms) {
        current.clear();
        vms.forEach(vm -> current.put(vm.vm(), vm));
        publish();
    }

    public synchronized void put(VmEntry vm) {
        current.put(vm.vm(), vm);
        publish();
    }

    public synchronized void remove(String vm) {
        if (current.remove(vm) == null) {
            throw StandInException.notFound("No VM named " + vm);
        }
        publish();
    }

    /** The list as callers see it now. */
    public synchronized List<VmEntry> shown() {
        return shown.value();
    }

    @Override
    public void close() {
        server.close();
    }

    private void publish() {
        shown.set(List.copyOf(current.values()));
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        if (call.is("PUT", VMS)) {
            JsonNode body = Json.parse(call.body());
            JsonNode list = body.isArray() ? body : body.path("vms");
            replace(List.of(Json.convert(list, VmEntry[].class)));
        } else if (call.is("POST", VMS)) {
            put(Json.convert(call.json(), VmEntry.class));
        } else if (call.method().equals("DELETE") && call.path().startsWith(VMS + "/")) {
            remove(call.path().substring(VMS.length() + 1));
        } else if (!call.is("GET", VMS)) {
            throw call.notFound();
        }
        ObjectNode answer = Json.object();
        answer.set("vms", Json.tree(shown()));
        return CompletableFuture.completedFuture(Json.answer(answer));
    }
}
