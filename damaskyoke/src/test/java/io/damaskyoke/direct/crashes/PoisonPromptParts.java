package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.RequestIdentity;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Requests whose prompts share parts. Each poison request is sent by one caller only once, but has
 * one of a few poison parts, at any place among parts that it shares with innocent requests. A
 * poison request that is repeated, and has sound parts only, may come as well.
 */
final class PoisonPromptParts implements SimulatedRequests {
    private static final int FIRST_PARTS = 3;
    private static final int FURTHER_PARTS = 30;
    private static final int MAX_FURTHER_PARTS = 2;
    private static final int POLLERS = 5;

    private final Random partRandom;
    private final List<CrashSuspect> poisons = new ArrayList<>();
    private final List<CrashSuspect> partsOfRepeated;
    private long requests;

    PoisonPromptParts(long seed) {
        this.partRandom = new Random(seed * 31 + 7);
        this.partsOfRepeated = List.of(firstPart(0), CrashSuspect.promptPart("further-0"));
        poisons.add(CrashSuspect.promptPart("poison"));
    }

    /** Adds a second poison part. */
    PoisonPromptParts andAnotherPart() {
        poisons.add(CrashSuspect.promptPart("poison-2"));
        return this;
    }

    /** Adds a poison request that is sent again and again. */
    PoisonPromptParts andARepeatedRequest() {
        poisons.add(CrashSuspect.request("repeated"));
        return this;
    }

    // One request in four repeats one of a few polls, each with a prompt part of its own.
    @Override
    public RequestIdentity innocent(Random random) {
        List<CrashSuspect> parts = soundParts();
        if (partRandom.nextInt(4) > 0) {
            return request("once-" + ++requests, parts);
        }
        int poll = partRandom.nextInt(POLLERS);
        CrashSuspect own = CrashSuspect.promptPart("poll-part-" + poll);
        return request("poll-" + poll, List.of(firstPart(poll % FIRST_PARTS), own));
    }

    @Override
    public RequestIdentity poison() {
        int kind = poisons.size() == 1 ? 0 : partRandom.nextInt(poisons.size());
        CrashSuspect poison = poisons.get(kind);
        if (!poison.isPromptPart()) {
            return new RequestIdentity(poison, partsOfRepeated);
        }
        List<CrashSuspect> parts = soundParts();
        parts.add(partRandom.nextInt(parts.size() + 1), poison);
        return request("poison-" + ++requests, parts);
    }

    // The parts of a prompt are distinct. The first one is shared by a third of all requests, and
    // of the others a few are far more frequent than the rest.
    private List<CrashSuspect> soundParts() {
        List<CrashSuspect> parts = new ArrayList<>();
        parts.add(firstPart(partRandom.nextInt(FIRST_PARTS)));
        for (int left = partRandom.nextInt(MAX_FURTHER_PARTS + 1); left > 0; left--) {
            double share = partRandom.nextDouble();
            int part = (int) (FURTHER_PARTS * share * share);
            parts.add(CrashSuspect.promptPart("further-" + part));
        }
        return new ArrayList<>(parts.stream().distinct().toList());
    }

    private static CrashSuspect firstPart(int number) {
        return CrashSuspect.promptPart("first-" + number);
    }

    private static RequestIdentity request(String id, List<CrashSuspect> parts) {
        return new RequestIdentity(CrashSuspect.request(id), parts);
    }

    @Override
    public Optional<CrashSuspect> poisonIn(RequestIdentity request) {
        return request.suspects().stream().filter(poisons::contains).findFirst();
    }

    @Override
    public boolean isPoll(RequestIdentity request) {
        return request.request().id().startsWith("poll-");
    }
}
