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
 * How one workspace's rate and burst are divided among router incarnations, as the store keeps it.
 * Immutable; each step gives a new table, and no step can make the parts add up to more than {@link
 * #WHOLE}. Parts are of the whole and not tokens, so a ticket that changes the rate rescales all.
 *
 * @param founder who wrote the first table, when nobody could have spent yet
 * @param untouched what nobody has ever had, of {@link #WHOLE}; no more than is free
 * @param shares by incarnation
 */
public record ShareTable(Incarnation founder, int untouched, Map<Incarnation, Share> shares) {
    /** All of a workspace's rate and burst, in parts. */
    public static final int WHOLE = 1_000_000;

    /**
     * One incarnation's share.
     *
     * @param address where the other routers reach it, {@code host:port}
     * @param part how much it has, of {@link #WHOLE}
     * @param want how much it would use
     * @param mark empty, or who wants to take it back from a router that seems gone
     * @param fresh how much of it came with its burst: nobody had ever had it, or an earlier life
     *     on the same VM had left it unspent
     * @param kept of its burst, what it never spends before the store has a smaller figure here;
     *     the next life on its VM finds that much
     */
    public record Share(
            VmId vm, String address, int part, int want, String mark, int fresh, int kept) {
        Share with(int newPart, int newWant) {
            return new Share(vm, address, newPart, newWant, "", fresh, Math.min(kept, newPart));
        }

        Share marked(String by) {
            return new Share(vm, address, part, want, by, fresh, kept);
        }

        Share keeping(int newKept) {
            return new Share(vm, address, part, want, "", fresh, Math.min(newKept, part));
        }
    }

    /** Refuses parts that are negative or add up to more than the whole. */
    public ShareTable {
        shares = Collections.unmodifiableMap(new TreeMap<>(shares));
        long sum = 0;
        for (Share share : shares.values()) {
            if (share.part() < 0) {
                throw new IllegalArgumentException("a part is negative: " + share);
            }
            sum += share.part();
        }
        if (sum > WHOLE) {
            throw new IllegalArgumentException("the parts exceed the whole: " + sum);
        }
        untouched = (int) Math.max(0, Math.min(untouched, WHOLE - sum));
    }

    /**
     * The first table of a workspace among this many routers: its writer has an even part with the
     * whole burst of that, and the others find theirs untouched.
     */
    public static ShareTable founded(Incarnation who, VmId vm, String address, int routers) {
        return unfounded(who).join(who, vm, address, routers, 0);
    }

    /** A table that nobody has joined yet, for its first writer. */
    static ShareTable unfounded(Incarnation who) {
        return new ShareTable(who, WHOLE, Map.of());
    }

    /** The VM that has most of the whole and isn't taken for gone, if one has. */
    Optional<VmId> owner() {
        return shares.values().stream()
                .filter(share -> share.part() > WHOLE / 2 && share.mark().isEmpty())
                .map(Share::vm)
                .findFirst();
    }

    /** What nobody has. */
    public int free() {
        return WHOLE - shares.values().stream().mapToInt(Share::part).sum();
    }

    /** This incarnation's part; 0 if it has none. */
    public int part(Incarnation who) {
        return share(who).map(Share::part).orElse(0);
    }

    /** This incarnation's share. */
    public Optional<Share> share(Incarnation who) {
        return Optional.ofNullable(shares.get(who));
    }

    /**
     * Adds a new incarnation among this many routers. It takes the place of earlier ones on its VM:
     * that it runs shows that they are gone. It takes no more than is then free.
     *
     * @param grown the part of a full burst, from 0 to 1, that has come in since it began to run
     */
    public ShareTable join(Incarnation who, VmId vm, String address, int routers, double grown) {
        long others = shares.values().stream().filter(share -> !share.vm().equals(vm)).count();
        int fair = WHOLE / (int) Math.max(others + 1, routers);
        return joinWith(who, vm, address, fair, grown);
    }

    /** The same with this part for the new incarnation, as far as it is free. */
    public ShareTable joinWith(Incarnation who, VmId vm, String address, int fair, double grown) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.values().removeIf(share -> share.vm().equals(vm));
        ShareTable without = new ShareTable(founder, untouched, next);
        int part = Math.min(fair, without.free());
        int first = Math.min(part, untouched);
        int fresh = first + Math.min(part - first, leftOn(vm, grown));
        next.put(who, new Share(vm, address, part, fair, "", fresh, 0));
        return new ShareTable(founder, untouched - first, next);
    }

    // Earlier lives on the VM kept this much at least until they ended, and nobody has spent what
    // their parts brought since.
    private int leftOn(VmId vm, double grown) {
        long left = 0;
        for (Share share : shares.values()) {
            if (share.vm().equals(vm)) {
                left += Math.min(share.part(), share.kept() + (long) (grown * share.part()));
            }
        }
        return (int) left;
    }

    /** Changes how much of its burst an incarnation keeps for the next life on its VM. */
    public ShareTable keep(Incarnation who, int kept) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.put(who, shares.get(who).keeping(kept));
        return new ShareTable(founder, untouched, next);
    }

    /** Sets its own part and want; a rise takes at most what is free. Shows that it is alive. */
    public ShareTable set(Incarnation who, int part, int want) {
        Share old = shares.get(who);
        int most = old.part() + free();
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.put(who, old.with(Math.min(part, most), want));
        return new ShareTable(founder, untouched, next);
    }

    /**
     * Sets its own want, lowers its own part to its target, and deals out that and what is free to
     * those furthest below theirs, but for the reserve. Only the writer's own part can fall, which
     * it has seen to.
     */
    public ShareTable dealt(Incarnation who, int part, int want, int reserve) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.put(who, shares.get(who).with(part, want));
        return new ShareTable(founder, untouched, next).dealtOut(reserve);
    }

    /** Takes an incarnation out and deals out what was its, as {@link #dealt} does. */
    public ShareTable withdrawn(Incarnation who, int reserve) {
        return remove(who).dealtOut(reserve);
    }

    private ShareTable dealtOut(int reserve) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        ShareTable dealt = this;
        int free = free() - reserve;
        while (free > 0) {
            Incarnation neediest = dealt.neediest();
            int lack = neediest == null ? 0 : dealt.lack(neediest);
            if (lack <= 0) {
                break;
            }
            Share share = next.get(neediest);
            int more = Math.min(lack, free);
            next.put(neediest, share.with(share.part() + more, share.want()));
            free -= more;
            dealt = new ShareTable(founder, untouched, next);
        }
        return dealt;
    }

    private Incarnation neediest() {
        return shares.entrySet().stream()
                .filter(entry -> entry.getValue().mark().isEmpty())
                .map(Map.Entry::getKey)
                .max(Comparator.comparingInt(this::lack))
                .orElse(null);
    }

    private int lack(Incarnation who) {
        Share share = shares.get(who);
        return target(who, share.want()) - share.part();
    }

    /** Says that this incarnation seems gone; only it can say otherwise. */
    public ShareTable mark(Incarnation gone, String by) {
        Share old = shares.get(gone);
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.put(gone, old.marked(by));
        return new ShareTable(founder, untouched, next);
    }

    /** Takes an incarnation out; its part becomes free. */
    public ShareTable remove(Incarnation gone) {
        Map<Incarnation, Share> next = new TreeMap<>(shares);
        next.remove(gone);
        return new ShareTable(founder, untouched, next);
    }

    /**
     * What an incarnation should have: all wants met if they fit, the rest spread evenly; else
     * small wants in full and the larger ones cut to one level, so that nobody's want starves.
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

    /** The stored form. */
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

    /** Reads the stored form, or throws an {@link IllegalArgumentException}. */
    public static ShareTable parse(byte[] json) {
        try {
            JsonNode table = JsonTrees.read(json);
            Map<Incarnation, Share> shares = new TreeMap<>();
            for (JsonNode line : table.path("shares")) {
                shares.put(Incarnation.of(text(line, "incarnation")), share(line));
            }
            Incarnation founder = Incarnation.of(text(table, "founder"));
            return new ShareTable(founder, whole(table, "untouched"), shares);
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read a share table", e);
        }
    }

    private static Share share(JsonNode line) {
        return new Share(
                VmId.of(text(line, "vm")),
                text(line, "address"),
                whole(line, "part"),
                whole(line, "want"),
                text(line, "mark"),
                whole(line, "fresh"),
                whole(line, "kept"));
    }

    private static String text(JsonNode from, String field) {
        String text = from.path(field).textValue();
        if (text == null) {
            throw new IllegalArgumentException("a share table has no " + field);
        }
        return text;
    }

    private static int whole(JsonNode from, String field) {
        JsonNode node = from.path(field);
        if (!node.isMissingNode() && !node.canConvertToInt()) {
            throw new IllegalArgumentException("a share table's " + field + " is no whole number");
        }
        return node.asInt();
    }
}
