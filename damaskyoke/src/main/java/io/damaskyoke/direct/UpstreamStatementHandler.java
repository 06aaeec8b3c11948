package io.damaskyoke.direct;

import io.damaskyoke.control.notices.PauseGate;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.http.RetryAfter;
import io.damaskyoke.metrics.Metrics;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Applies what answers say about their upstreams, whatever they answer. Traffic thread only. */
final class UpstreamStatementHandler {
    private static final Logger LOG = LogManager.getLogger(UpstreamStatementHandler.class);

    private final InstantSource clock;
    private final UpstreamTable upstreams;
    private final DeclaredLimits limits;
    private final ReportedLoads loads;
    private final AnnouncedDepartures departures;
    private final Metrics metrics;

    UpstreamStatementHandler(
            InstantSource clock,
            UpstreamTable upstreams,
            DeclaredLimits limits,
            ReportedLoads loads,
            AnnouncedDepartures departures,
            Metrics metrics) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.limits = limits;
        this.loads = loads;
        this.departures = departures;
        this.metrics = metrics;
    }

    /** Registers gauges of the paused and leaving upstreams. */
    void registerGauges() {
        metrics.gauge("upstreams_leaving", this::leavingCount);
        metrics.gauge("upstreams_paused", this::pausedCount);
        metrics.gauge("upstream_sent_in_pause", this::sentInPause);
    }

    /** Applies what the answer to a request says. */
    void answerReceived(SentTo sentTo, UpstreamStatements statements) {
        loads.answerReceived(sentTo.upstream(), statements);
        limits.limitReceived(sentTo.upstream(), statements.limit(), sentTo.at());
        closingStatementsReceived(sentTo, statements);
    }

    /**
     * Applies what the answer to an order or a report request says. It need not state the limit on
     * requests, so it does not lift one.
     */
    void callAnswered(SentTo sentTo, UpstreamStatements statements) {
        closingStatementsReceived(sentTo, statements);
    }

    private void closingStatementsReceived(SentTo sentTo, UpstreamStatements statements) {
        boolean isAddressed = statements.from().equals(Optional.of(sentTo.id()));
        long listedStart = upstreams.listedStart(sentTo.id());
        if (!isAddressed || !sentTo.isOutdatedBy(listedStart)) {
            statements.from().ifPresent(id -> closingStatementsReceived(id, statements));
        }
    }

    // The answer may be of another upstream than the addressed one: of the one that was given its
    // address, or of the one that had it before.
    private void closingStatementsReceived(UpstreamId id, UpstreamStatements statements) {
        if (statements.pause().kind() != RetryAfter.Kind.NONE) {
            pauseRequested(id, statements.pause());
        }
        if (statements.leaving()) {
            metrics.count("upstream_answers_leaving");
            departures.departureStated(id);
        }
    }

    private void pauseRequested(UpstreamId id, RetryAfter pause) {
        if (pause.kind() == RetryAfter.Kind.INVALID) {
            metrics.count("upstream_pauses_invalid");
            upstreams
                    .find(id)
                    .filter(upstream -> upstream.pause().markInvalid())
                    .ifPresent(any -> LOG.warn("upstream {} asks for an unreadable pause", id));
            return;
        }
        metrics.count("upstream_pauses_requested");
        boolean tooLong = pause.pause().compareTo(PauseGate.MAX_PAUSE) > 0;
        if (tooLong) {
            metrics.count("upstream_pauses_shortened");
        }
        if (upstreams.pauseRequested(id, pause.pause(), clock.instant())) {
            LOG.info(
                    "upstream {} asks for a pause of {} ms{}",
                    id,
                    pause.pause().toMillis(),
                    tooLong ? ", shortened to " + PauseGate.MAX_PAUSE.toMillis() + " ms" : "");
        }
    }

    /** Counts a request that was refused, as all upstreams that could serve it are paused. */
    void recordRefusedInPause() {
        metrics.count("direct_refused_in_pause");
    }

    private long leavingCount() {
        return upstreams.all().stream().filter(Upstream::isLeaving).count();
    }

    private long pausedCount() {
        Instant now = clock.instant();
        return upstreams.all().stream().filter(each -> each.pause().isPaused(now)).count();
    }

    private long sentInPause() {
        return upstreams.all().stream().mapToLong(each -> each.pause().sentInPause()).sum();
    }
}
