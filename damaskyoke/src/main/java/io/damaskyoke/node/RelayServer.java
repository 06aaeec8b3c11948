package io.damaskyoke.node;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.ConfigurationService;
import io.damaskyoke.control.configuration.LogEntry;
import io.damaskyoke.control.relay.RegistrationTable;
import io.damaskyoke.control.relay.RegistrationTable.Delta;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.wire.ConfigEntries;
import io.damaskyoke.peer.wire.ConfigFetch;
import io.damaskyoke.peer.wire.Frame;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Answers peers that ask for the configuration, and pushes what is new to those that asked lately.
 * Every process does; only relays are asked as a rule. Lives on the control thread.
 */
final class RelayServer {
    private static final Duration REMEMBERED = Duration.ofSeconds(30);

    private final ControlThread control;
    private final ConfigurationService configuration;
    private final RegistrationTable agents;
    private final Metrics metrics;
    private final Map<PeerLink, Subscriber> subscribers = new HashMap<>();
    private List<Frame> snapshot = List.of();
    private long snapshotSequence = -1;

    /** A peer that asked; how far it knows what there is. */
    private static final class Subscriber {
        private Instant askedAt;
        private long sequence;
        private boolean wantsAgents;
        private long agentsRevision;
    }

    RelayServer(
            ControlThread control,
            ConfigurationService configuration,
            RegistrationTable agents,
            Metrics metrics) {
        this.control = control;
        this.configuration = configuration;
        this.agents = agents;
        this.metrics = metrics;
    }

    void answer(PeerLink link, ConfigFetch fetch) {
        metrics.count("relay_fetches");
        Subscriber asker = subscribers.computeIfAbsent(link, any -> new Subscriber());
        asker.askedAt = control.clock().instant();
        asker.sequence = fetch.getFromSequence() - 1;
        asker.wantsAgents = fetch.getAgents();
        asker.agentsRevision = fetch.getAgentsRevision();
        sendAgents(link, asker);
        link.send(RelayFrames.of(whatIsNew(link, asker).setProbe(fetch.getProbe())));
    }

    /** Tells those that asked lately of a newer configuration. */
    void pushConfiguration(Configuration newest) {
        forgetOld();
        subscribers.forEach(
                (link, subscriber) -> {
                    if (subscriber.sequence < newest.sequence() && link.writable()) {
                        metrics.count("relay_pushes");
                        link.send(RelayFrames.of(whatIsNew(link, subscriber)));
                    }
                });
    }

    /** Tells those that asked lately of changed registrations. */
    void pushAgents() {
        forgetOld();
        subscribers.forEach(this::sendAgents);
    }

    void closed(PeerLink link) {
        subscribers.remove(link);
    }

    private ConfigEntries.Builder whatIsNew(PeerLink link, Subscriber subscriber) {
        Configuration current = configuration.current();
        ConfigEntries.Builder answer =
                ConfigEntries.newBuilder()
                        .setHeadSequence(current.sequence())
                        .setSettled(configuration.isSettled())
                        .setConfirmedInThisLife(configuration.confirmedSinceStart());
        Optional<Instant> confirmedAt = configuration.confirmedAt();
        confirmedAt.ifPresent(at -> answer.setConfirmed(true).setConfirmedAgeMs(age(at)));
        Optional<List<LogEntry>> entries = configuration.entries(subscriber.sequence + 1);
        if (entries.isPresent()) {
            answer.addAllEntries(RelayFrames.batch(entries.get()));
        } else {
            sendSnapshot(link);
        }
        int sent = answer.getEntriesCount();
        subscriber.sequence =
                entries.isPresent() && sent > 0
                        ? answer.getEntries(sent - 1).getSequence()
                        : current.sequence();
        return answer;
    }

    // Rounded up, so that the age a peer counts with is never less than the true one.
    private long age(Instant at) {
        return Duration.between(at, control.clock().instant()).toMillis() + 1;
    }

    private void sendSnapshot(PeerLink link) {
        if (snapshotSequence != configuration.current().sequence()) {
            snapshot = RelayFrames.snapshot(configuration.snapshot());
            snapshotSequence = configuration.current().sequence();
        }
        metrics.count("relay_snapshots");
        snapshot.forEach(link::send);
    }

    private void sendAgents(PeerLink link, Subscriber subscriber) {
        if (!subscriber.wantsAgents || agents.revision() <= subscriber.agentsRevision) {
            return;
        }
        Delta delta = agents.changesSince(subscriber.agentsRevision);
        RelayFrames.registrations(delta).forEach(link::send);
        subscriber.agentsRevision = delta.revision();
    }

    private void forgetOld() {
        Instant limit = control.clock().instant().minus(REMEMBERED);
        subscribers.values().removeIf(subscriber -> subscriber.askedAt.isBefore(limit));
    }
}
