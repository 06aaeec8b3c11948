package io.damaskyoke.control.rates;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.json.JsonTrees;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * How one workspace's rate and burst are divided among router incarnations, as stored. It is
 * immutable: each step returns a new table, and no step can make the parts add up to more than
 * {@link #WHOLE}. Parts are fractions of the whole and not tokens, so a ticket that changes the
 * rate rescales all of them.
 *
 * @param founder the incarnation that wrote the first table, when nobody could have spent yet
 * @param untouched the part that nobody has ever had, of {@link #WHOLE}; at most the free part
 * @param shares the shares by incarnation
 */
public record ShareTable(Incarnation founder, int untouched, Map<Incarnation, Share> shares) {
    /** All of a workspace's rate and burst, in parts. */
    public static final int WHOLE = 1_000_000;

    /**
     * One incarnation's share.
     *
     * @param vm the VM of the incarnation
     * @param address where the other routers reach it, {@code host:port}
     * @param part how much it has, of {@link #WHOLE}
     * @param want how much it would use, of {@link #WHOLE}
     * @param mark the incarnation that wants to reclaim the share because its holder seems gone,
     *     and the revision that it saw; empty if none does
     * @param fresh how much of the part came with its burst, because nobody had ever had it or an
     *     earlier incarnation on the same VM had left it unspent
     * @param kept how much of its burst it never spends before the store shows a smaller value
     *     here; the next incarnation on its VM finds that much
     */
    public record Share(
            VmId vm, String address, int part, int want, String mark, int fresh, int kept) {
        Share withPartAndWant(int newPart, int newWant) {
            return new Share(vm, address, newPart, newWant, "", fresh, Math.min(kept, newPart));
        }

        Share marked(String markedBy) {
            return new Share(vm, address, part, want, markedBy, fresh, kept);
        }

        Share withKept(int newKept) {
            return new Share(vm, address, part, want, "", fresh, Math.min(newKept, part));
        }
    }

    /** Checks that no part is negative and that they add up to at most the whole. */
    public ShareTable {
        shares = Collections.unmodifiableMap(new TreeMap<>(shares));
        long sum = 0;
        for (Share share : shares.values()) {
            if (share.part() < 0) {
                throw new IllegalArgumentException("a share has a negative part: " + share);
            }
            sum += share.part();
        }
        if (sum > WHOLE) {
            throw new IllegalArgumentException(
                    "the parts of the shares must add up to at most " + WHOLE + ", but are " + sum);
        }
        untouched = (int) Math.max(0, Math.min(untouched, WHOLE - sum));
    }

    /**
     * Creates the first table of a workspace among this many routers. Its writer holds an even part
     * with the whole burst of that, and the others find theirs untouched.
     */
    public static ShareTable founded(
            Incarnation incarnation, VmId vm, String address, int routers) {
        return empty(incarnation).join(incarnation, vm, address, routers, 0);
    }

    /** Creates a table without shares, for its first writer. */
    static ShareTable empty(Incarnation incarnation) {
        return new ShareTable(incarnation, WHOLE, Map.of());
    }

    /** Returns the VM that holds most of the whole and is not marked as gone, if there is one. */
    Optional<VmId> owner() {
        return shares.values().stream()
                .filter(share -> share.part() > WHOLE / 2 && share.mark().isEmpty())
                .map(Share::vm)
                .findFirst();
    }

    /** Returns the part that no incarnation holds. */
    public int free() {
        return WHOLE - shares.values().stream().mapToInt(Share::part).sum();
    }

    /** Returns the part of this incarnation, or 0 if it has none. */
    public int part(Incarnation incarnation) {
        return share(incarnation).map(Share::part).orElse(0);
    }

    /** Returns the share of this incarnation. */
    public Optional<Share> share(Incarnation incarnation) {
        return Optional.ofNullable(shares.get(incarnation));
    }

    /**
     * Adds a new incarnation among this many routers. It replaces earlier ones on its VM, since its
     * running shows that they are gone. It takes at most what is then free.
     *
     * @param accrued the fraction of a full burst, from 0 to 1, that accrued since it started to
     *     run
     */
    public ShareTable join(
            Incarnation incarnation, VmId vm, String address, int routers, double accrued) {
        long others = shares.values().stream().filter(share -> !share.vm().equals(vm)).count();
        int fairPart = WHOLE / (int) Math.max(others + 1, routers);
        return joinWithPart(incarnation, vm, address, fairPart, accrued);
    }

    /**
     * Adds a new incarnation with this part, as far as it is free. Otherwise like {@link #join}.
     */
    public ShareTable joinWithPart(
            Incarnation incarnation, VmId vm, String address, int wantedPart, double accrued) {
        Map<Incarnation, Share> updated = new TreeMap<>(shares);
        updated.values().removeIf(share -> share.vm().equals(vm));
        ShareTable without = new ShareTable(founder, untouched, updated);
        int part = Math.min(wantedPart, without.free());
        int fromUntouched = Math.min(part, untouched);
        int fresh = fromUntouched + Math.min(part - fromUntouched, unspentOn(vm, accrued));
        updated.put(incarnation, new Share(vm, address, part, wantedPart, "", fresh, 0));
        return new ShareTable(founder, untouched - fromUntouched, updated);
    }

    // Earlier incarnations on the VM reserved at least this much until they stopped, and nobody has
    // spent what their parts accrued since.
    private int unspentOn(VmId vm, double accrued) {
        long remaining = 0;
        for (Share share : shares.values()) {
            if (share.vm().equals(vm)) {
                remaining += Math.min(share.part(), share.kept() + (long) (accrued * share.part()));
            }
        }
        return (int) remaining;
    }

    /** Sets how much of its burst an incarnation reserves for the next one on its VM. */
    public ShareTable withKept(Incarnation incarnation, int kept) {
        Map<Incarnation, Share> updated = new TreeMap<>(shares);
        updated.put(incarnation, shares.get(incarnation).withKept(kept));
        return new ShareTable(founder, untouched, updated);
    }

    /**
     * Sets an incarnation's own part and want. An increase takes at most what is free. The write
     * also clears the mark, since it shows that the incarnation is alive.
     */
    public ShareTable withPartAndWant(Incarnation incarnation, int part, int want) {
        Share current = shares.get(incarnation);
        int max = current.part() + free();
        Map<Incarnation, Share> updated = new TreeMap<>(shares);
        updated.put(incarnation, current.withPartAndWant(Math.min(part, max), want));
        return new ShareTable(founder, untouched, updated);
    }

    /**
     * Sets the writer's own part and want, and distributes the free part, apart from the reserve,
     * to the shares furthest below their targets. Only the writer's own part can decrease, which it
     * has accounted for.
     */
    public ShareTable redistributed(Incarnation incarnation, int part, int want, int reserve) {
        Map<Incarnation, Share> updated = new TreeMap<>(shares);
        updated.put(incarnation, shares.get(incarnation).withPartAndWant(part, want));
        return new ShareTable(founder, untouched, updated).distributeFree(reserve);
    }

    /** Removes an incarnation and distributes its part as {@link #redistributed} does. */
    public ShareTable withdrawn(Incarnation incarnation, int reserve) {
        return remove(incarnation).distributeFree(reserve);
    }

    private ShareTable distributeFree(int reserve) {
        Map<Incarnation, Share> updated = new TreeMap<>(shares);
        ShareTable distributed = this;
        int free = free() - reserve;
        while (free > 0) {
            Incarnation neediest = distributed.furthestBelowTarget();
            int shortfall = neediest == null ? 0 : distributed.shortfall(neediest);
            if (shortfall <= 0) {
                break;
            }
            Share share = updated.get(neediest);
            int added = Math.min(shortfall, free);
            updated.put(neediest, share.withPartAndWant(share.part() + added, share.want()));
            free -= added;
            distributed = new ShareTable(founder, untouched, updated);
        }
        return distributed;
    }

    private Incarnation furthestBelowTarget() {
        return shares.entrySet().stream()
                .filter(entry -> entry.getValue().mark().isEmpty())
                .map(Map.Entry::getKey)
                .max(Comparator.comparingInt(this::shortfall))
                .orElse(null);
    }

    private int shortfall(Incarnation incarnation) {
        Share share = shares.get(incarnation);
        return target(incarnation, share.want()) - share.part();
    }

    /** Marks an incarnation as seemingly gone. Only that incarnation can clear the mark. */
    public ShareTable mark(Incarnation gone, String markedBy) {
        Share current = shares.get(gone);
        Map<Incarnation, Share> updated = new TreeMap<>(shares);
        updated.put(gone, current.marked(markedBy));
        return new ShareTable(founder, untouched, updated);
    }

    /** Removes an incarnation. Its part becomes free. */
    public ShareTable remove(Incarnation gone) {
        Map<Incarnation, Share> updated = new TreeMap<>(shares);
        updated.remove(gone);
        return new ShareTable(founder, untouched, updated);
    }

    /**
     * Returns the part that an incarnation should have. If all wants fit, each is met in full and
     * the rest is spread evenly. Otherwise small wants are met in full and larger ones are capped
     * at one level, so that no want starves.
     */
    public int target(Incarnation incarnation, int ownWant) {
        Map<Incarnation, Integer> wants = new TreeMap<>();
        shares.forEach((holder, share) -> wants.put(holder, share.want()));
        wants.put(incarnation, ownWant);
        List<Integer> sorted = new ArrayList<>(wants.values());
        sorted.sort(Comparator.naturalOrder());
        int remaining = WHOLE;
        int others = sorted.size();
        for (int want : sorted) {
            if ((long) want * others > remaining) {
                return Math.min(ownWant, remaining / others);
            }
            remaining -= want;
            others--;
        }
        return ownWant + remaining / sorted.size();
    }

    /** Returns the stored form. */
    public byte[] toJson() {
        ObjectNode table = JsonTrees.object();
        table.put("founder", founder.value()).put("untouched", untouched);
        ArrayNode shareNodes = table.putArray("shares");
        shares.forEach(
                (holder, share) ->
                        shareNodes
                                .addObject()
                                .put("incarnation", holder.value())
                                .put("vm", share.vm().value())
                                .put("address", share.address())
                                .put("part", share.part())
                                .put("want", share.want())
                                .put("mark", share.mark())
                                .put("fresh", share.fresh())
                                .put("kept", share.kept()));
        return JsonTrees.write(table);
    }

    /**
     * Parses the stored form.
     *
     * @throws IllegalArgumentException if it is no valid share table
     */
    public static ShareTable parse(byte[] json) {
        try {
            JsonNode table = JsonTrees.read(json);
            Map<Incarnation, Share> shares = new TreeMap<>();
            for (JsonNode node : table.path("shares")) {
                shares.put(Incarnation.of(textField(node, "incarnation")), share(node));
            }
            Incarnation founder = Incarnation.of(textField(table, "founder"));
            return new ShareTable(founder, intField(table, "untouched"), shares);
        } catch (IOException e) {
            throw new IllegalArgumentException("a share table is not valid JSON", e);
        }
    }

    private static Share share(JsonNode node) {
        return new Share(
                VmId.of(textField(node, "vm")),
                textField(node, "address"),
                intField(node, "part"),
                intField(node, "want"),
                textField(node, "mark"),
                intField(node, "fresh"),
                intField(node, "kept"));
    }

    private static String textField(JsonNode from, String field) {
        String text = from.path(field).textValue();
        if (text == null) {
            throw new IllegalArgumentException("a share table lacks the text field " + field);
        }
        return text;
    }

    private static int intField(JsonNode from, String field) {
        JsonNode node = from.path(field);
        if (!node.isMissingNode() && !node.canConvertToInt()) {
            throw new IllegalArgumentException(
                    "the field " + field + " of a share table must be an integer");
        }
        return node.asInt();
    }
}
