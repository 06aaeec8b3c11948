package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether this router may still spend its shares, and which others seem gone.
 *
 * <p>A router that was frozen or cut off may have had its share taken back meanwhile. If it spent
 * on after its thaw, the workspace would get its rate twice over; so it stops by itself, on its own
 * clock, before anybody may take the share, and goes on only after a read of the store.
 */
final class SpendingRight {
    private final VmId self;
    private final RateSettings settings;
    private final Map<VmId, Instant> missing = new HashMap<>();
    private final Map<WorkspaceId, Set<VmId>> homes = new HashMap<>();
    private final Map<WorkspaceId, VmId> owners = new HashMap<>();
    private Set<VmId> listed = Set.of();
    private boolean everListed;
    private Instant read;
    private Instant needed = Instant.MIN;
    private Instant contact = Instant.MIN;
    private Instant ticked;

    SpendingRight(VmId self, RateSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Notes that this process is running, and whether it was frozen up to now. */
    void awake(Instant now) {
        if (ticked != null && now.isAfter(ticked.plus(settings.freeze()))) {
            needed = now;
        }
        ticked = now;
    }

    void read(Instant askedAt, Instant now) {
        read = askedAt;
        contact = now;
    }

    void heard(VmId other, Instant now) {
        contact = now;
        missing.remove(other);
    }

    void listed(Set<VmId> routers, Instant now) {
        if (!routers.equals(listed)) {
            listed = routers;
            homes.clear();
            owners.clear();
        }
        if (routers.contains(self)) {
            everListed = true;
            contact = now;
        }
        missing.keySet().removeAll(routers);
    }

    /** True if this router has not read the store since its start, and so can have no share. */
    boolean neverRead() {
        return read == null;
    }

    /** The other routers on the list, in order. */
    List<VmId> otherRouters() {
        return listed.stream().filter(vm -> !vm.equals(self)).sorted().toList();
    }

    /**
     * The routers that have shares of the workspace, as far as the list says. They are asked for at
     * every tick, and picked anew only when the list has changed.
     */
    Set<VmId> homes(WorkspaceId workspace) {
        return homes.computeIfAbsent(workspace, this::pickHomes);
    }

    /** True if this router should have most of the workspace; false as long as there is no list. */
    boolean ownerOf(WorkspaceId workspace) {
        return !listed.isEmpty()
                && owners.computeIfAbsent(workspace, id -> ShareHolders.owner(id, routers()))
                        .equals(self);
    }

    /** The other routers that should have shares of the workspace, the owner first. */
    List<VmId> otherHomes(WorkspaceId workspace) {
        return ShareHolders.inOrder(workspace, homes(workspace)).stream()
                .filter(vm -> !vm.equals(self))
                .toList();
    }

    private Set<VmId> pickHomes(WorkspaceId workspace) {
        return ShareHolders.of(workspace, routers());
    }

    /** How many routers there are, as far as the list says, this one too. */
    int routerCount() {
        return listed.contains(self) ? listed.size() : listed.size() + 1;
    }

    private Set<VmId> routers() {
        Set<VmId> all = new HashSet<>(listed);
        all.add(self);
        return all;
    }

    /** True if this life may spend its share of the workspace, and what it borrows, now. */
    boolean usable(Account account, Incarnation life, Instant now) {
        if (account.row == null) {
            return neverRead();
        }
        ShareTable table = account.row.table();
        boolean marked = table.share(life).filter(share -> !share.mark().isEmpty()).isPresent();
        return !marked && holds(table.shares().size() <= 1, now);
    }

    /** True if shares may be spent; {@code alone} if no other router has any. */
    private boolean holds(boolean alone, Instant now) {
        if (read == null
                || read.isBefore(needed)
                || !now.isBefore(read.plus(settings.validity()))) {
            return false;
        }
        if (alone) {
            return true;
        }
        boolean delisted = everListed && !listed.contains(self);
        return !delisted && now.isBefore(contact.plus(settings.isolation()));
    }

    /** True if the store was read lately enough to decide on a write. */
    boolean fresh(Instant now) {
        return read != null
                && !read.isBefore(needed)
                && now.isBefore(read.plus(settings.isolation()));
    }

    /** True if that router has been off the list and silent for long enough. */
    boolean seemsGone(VmId other, Instant now) {
        if (listed.isEmpty() || listed.contains(other)) {
            return false;
        }
        Instant since = missing.computeIfAbsent(other, vm -> now);
        return !now.isBefore(since.plus(settings.gone()));
    }
}
