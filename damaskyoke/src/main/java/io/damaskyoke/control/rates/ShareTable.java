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
     * @param mark the id of the router that wants to reclaim the share because its holder seems
     *     gone; empty if none does
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

        Share marked(String by) {
            return new Share(vm, address, part, want, by, fresh, kept);
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
    public static ShareTable founded(Incarnation who, VmId vm, String address, int routers) {
        return empty(who).join(who, vm, address, routers, 0);
    }

    /** Creates a table without shares, for its first writer. */
    static ShareTable empty(Incarnation who) {
        return new ShareTable(who, WHOLE, Map.of());
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
    public int part(Incarnation who) {
        return share(who).map(Share::part).orElse(0);
    }

    /** Returns the share of this incarnation. */
    public Optional<Share> share(Incarnation who) {
        return Optional.ofNullable(shares.get(who));
    }

    /**
     * Adds a new incarnation among this many routers. It replaces earlier ones on its VM, since its
     * running shows that they are gone. It takes at most what is then free.
     *
     * @param grown the fraction of a full burst, from 0 to 1, that accrued since it started to run
     */
    public ShareTable join(Incarnation who, VmId vm, String address, int routers, double grown) {
        long others = shares.values().stream().filter(share -> !share.vm().equals(vm)).count();
        int fair = WHOLE / (int) Math.max(others + 1, routers);
        return joinWithPart(who, vm, address, fair, grown);
    }

    /**
     * Adds a new incarnation with this part, as far as it is free. Otherwise like {@link #join}.
     */
    public ShareTable joinWithPart(
            Incarnation who, VmId vm, String address, int fair, double grown) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.values().removeIf(share -> share.vm().equals(vm));
        ShareTable without = new ShareTable(founder, untouched, next);
        int part = Math.min(fair, without.free());
        int first = Math.min(part, untouched);
        int fresh = first + Math.min(part - first, unspentOn(vm, grown));
        next.put(who, new Share(vm, address, part, fair, "", fresh, 0));
        return new ShareTable(founder, untouched - first, next);
    }

    // Earlier incarnations on the VM reserved at least this much until they stopped, and nobody has
    // spent what their parts accrued since.
    private int unspentOn(VmId vm, double grown) {
        long left = 0;
        for (Share share : shares.values()) {
            if (share.vm().equals(vm)) {
                left += Math.min(share.part(), share.kept() + (long) (grown * share.part()));
            }
        }
        return (int) left;
    }

    /** Sets how much of its burst an incarnation reserves for the next one on its VM. */
    public ShareTable withKept(Incarnation who, int kept) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.put(who, shares.get(who).withKept(kept));
        return new ShareTable(founder, untouched, next);
    }

    /**
     * Sets an incarnation's own part and want. An increase takes at most what is free. The write
     * also clears the mark, since it shows that the incarnation is alive.
     */
    public ShareTable withPartAndWant(Incarnation who, int part, int want) {
        Share old = shares.get(who);
        int most = old.part() + free();
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.put(who, old.withPartAndWant(Math.min(part, most), want));
        return new ShareTable(founder, untouched, next);
    }

    /**
     * Sets the writer's own part and want, and distributes the free part, apart from the reserve,
     * to the shares furthest below their targets. Only the writer's own part can decrease, which it
     * has accounted for.
     */
    public ShareTable redistributed(Incarnation who, int part, int want, int reserve) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.put(who, shares.get(who).withPartAndWant(part, want));
        return new ShareTable(founder, untouched, next).distributeFree(reserve);
    }

    /** Removes an incarnation and distributes its part as {@link #redistributed} does. */
    public ShareTable withdrawn(Incarnation who, int reserve) {
        return remove(who).distributeFree(reserve);
    }

    private ShareTable distributeFree(int reserve) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        ShareTable dealt = this;
        int free = free() - reserve;
        while (free > 0) {
            Incarnation neediest = dealt.furthestBelowTarget();
            int lack = neediest == null ? 0 : dealt.shortfall(neediest);
            if (lack <= 0) {
                break;
            }
            Share share = next.get(neediest);
            int more = Math.min(lack, free);
            next.put(neediest, share.withPartAndWant(share.part() + more, share.want()));
            free -= more;
            dealt = new ShareTable(founder, untouched, next);
        }
        return dealt;
    }

    private Incarnation furthestBelowTarget() {
        return shares.entrySet().stream()
                .filter(entry -> entry.getValue().mark().isEmpty())
                .map(Map.Entry::getKey)
                .max(Comparator.comparingInt(this::shortfall))
                .orElse(null);
    }

    private int shortfall(Incarnation who) {
        Share share = shares.get(who);
        return target(who, share.want()) - share.part();
    }

    /** Marks an incarnation as seemingly gone. Only that incarnation can clear the mark. */
    public ShareTable mark(Incarnation gone, String by) {
        Share old = shares.get(gone);
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.put(gone, old.marked(by));
        return new ShareTable(founder, untouched, next);
    }

    /** Removes an incarnation. Its part becomes free. */
    public ShareTable remove(Incarnation gone) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.remove(gone);
        return new ShareTable(founder, untouched, next);
    }

    /**
     * Returns the part that an incarnation should have. If all wants fit, each is met in full and
     * the rest is spread evenly. Otherwise small wants are met in full and larger ones are capped
     * at one level, so that no want starves.
     */
    public int target(Incarnation who, int ownWant) {
        Map<Incarnation, Integer> wants = new TreeMap<>();
        shares.forEach((id, share) -> wants.put(id, share.want()));
        wants.put(who, ownWant);
        List<Integer> sorted = new ArrayList<>(wants.values());
        sorted.sort(Comparator.naturalOrder());
        int left = WHOLE;
        int others = sorted.size();
        for (int want : sorted) {
            if ((long) want * others > left) {
                return Math.min(ownWant, left / others);
            }
            left -= want;
            others--;
        }
        return ownWant + left / sorted.size();
    }

    /** Returns the stored form. */
    public byte[] toJson() {
        ObjectNode table = JsonTrees.object();
        table.put("founder", founder.value()).put("untouched", untouched);
        ArrayNode lines = table.putArray("shares");
        shares.forEach(
                (id, share) ->
                        lines.addObject()
                                .put("incarnation", id.value())
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
            for (JsonNode line : table.path("shares")) {
                shares.put(Incarnation.of(textField(line, "incarnation")), share(line));
            }
            Incarnation founder = Incarnation.of(textField(table, "founder"));
            return new ShareTable(founder, intField(table, "untouched"), shares);
        } catch (IOException e) {
            throw new IllegalArgumentException("a share table is not valid JSON", e);
        }
    }

    private static Share share(JsonNode line) {
        return new Share(
                VmId.of(textField(line, "vm")),
                textField(line, "address"),
                intField(line, "part"),
                intField(line, "want"),
                textField(line, "mark"),
                intField(line, "fresh"),
                intField(line, "kept"));
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
