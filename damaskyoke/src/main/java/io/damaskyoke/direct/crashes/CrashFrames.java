package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestIdentity;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.peer.wire.CutRequest;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.LostUpstream;
import io.damaskyoke.peer.wire.SuspectRequest;
import io.damaskyoke.peer.wire.UpstreamEnded;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Converts what direct routers tell each other about crashes and their suspects to frames of the
 * peer protocol and back.
 *
 * <p>Requests and prompt parts have frames of different kinds. A router of an earlier version knows
 * only requests, and ignores the frames and fields of prompt parts.
 */
public final class CrashFrames {
    private CrashFrames() {}

    /** Returns the announcement of a crash; {@code passOn} if the receiver is to pass it on. */
    public static Frame crashDetected(UpstreamCrash crash, boolean passOn) {
        LostUpstream lost =
                LostUpstream.newBuilder()
                        .setUpstream(crash.upstream().value())
                        .setStartedAt(crash.startedAt())
                        .setPassOn(passOn)
                        .setEnded(true)
                        .build();
        return Frame.newBuilder().setLostUpstream(lost).build();
    }

    static Frame upstreamCrash(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
        UpstreamEnded.Builder ended =
                UpstreamEnded.newBuilder()
                        .setUpstream(crash.upstream().value())
                        .setStartedAt(crash.startedAt())
                        .setEndedMsAgo((int) ago.toMillis());
        runs.forEach(run -> ended.addRequests(cutRequest(run)));
        return Frame.newBuilder().setUpstreamEnded(ended).build();
    }

    private static CutRequest cutRequest(CrashedRun run) {
        CutRequest.Builder line =
                CutRequest.newBuilder()
                        .setRequest(run.request().request().id())
                        .setRanMs((int) run.runTime().toMillis());
        run.request().promptParts().forEach(part -> line.addPromptParts(part.id()));
        return line.build();
    }

    public static UpstreamCrash crash(UpstreamEnded ended) {
        return new UpstreamCrash(UpstreamId.of(ended.getUpstream()), ended.getStartedAt());
    }

    public static List<CrashedRun> crashedRuns(UpstreamEnded ended) {
        return ended.getRequestsList().stream().map(CrashFrames::crashedRun).toList();
    }

    private static CrashedRun crashedRun(CutRequest line) {
        RequestIdentity request =
                new RequestIdentity(
                        CrashSuspect.request(line.getRequest()),
                        line.getPromptPartsList().stream().map(CrashSuspect::promptPart).toList());
        return new CrashedRun(request, Duration.ofMillis(line.getRanMs()));
    }

    static Frame watched(CrashSuspect suspect) {
        return frame(suspect, SuspectRequest.newBuilder().setState(SuspectRequest.State.WATCHED));
    }

    static Frame survivedRuns(CrashSuspect suspect, int times) {
        return frame(
                suspect,
                SuspectRequest.newBuilder().setState(SuspectRequest.State.BORNE).setTimes(times));
    }

    static Frame succeededBefore(CrashSuspect suspect, Duration ago) {
        return frame(
                suspect,
                SuspectRequest.newBuilder()
                        .setState(SuspectRequest.State.SUCCEEDED)
                        .setAnsweredMsAgo(ago.toMillis()));
    }

    static Frame cleared(CrashSuspect suspect, Duration sentAgo) {
        return frame(
                suspect,
                SuspectRequest.newBuilder()
                        .setState(SuspectRequest.State.CLEARED)
                        .setSentMsAgo(sentAgo.toMillis()));
    }

    /** Returns the announcement of an entry of the quarantine. */
    public static Frame quarantined(Quarantine.Entry entry, Instant now) {
        return frame(
                entry.suspect(),
                SuspectRequest.newBuilder()
                        .setState(SuspectRequest.State.KEPT_OUT)
                        .setLeftMs(millisBetween(now, entry.until()))
                        .setTrials(entry.trials())
                        .setEndedMsAgo(millisBetween(entry.lastCrashAt(), now)));
    }

    public static Quarantine.Entry quarantined(
            CrashSuspect suspect, SuspectRequest line, Instant now) {
        return new Quarantine.Entry(
                suspect,
                now.plusMillis(line.getLeftMs()),
                line.getTrials(),
                now.minusMillis(line.getEndedMsAgo()));
    }

    private static long millisBetween(Instant from, Instant to) {
        return Math.max(0, Duration.between(from, to).toMillis());
    }

    private static Frame frame(CrashSuspect suspect, SuspectRequest.Builder line) {
        line.setRequest(suspect.id());
        return suspect.isPromptPart()
                ? Frame.newBuilder().setSuspectPart(line).build()
                : Frame.newBuilder().setSuspectRequest(line).build();
    }
}
