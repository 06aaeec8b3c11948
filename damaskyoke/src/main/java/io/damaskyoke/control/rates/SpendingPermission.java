package io.damaskyoke.control.rates;

import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Decides whether this router may still spend its shares, and which other routers seem gone.
 *
 * <p>The shares of a router that was frozen or cut off may have been reclaimed meanwhile. If it
 * continued spending afterwards, the workspace would get its rate twice. So it stops by itself, on
 * its own clock, before any other router may reclaim the share, and continues only after a read of
 * the store.
 */
final class SpendingPermission {
    private final VmId self;
    private final RateSettings settings;
    private final Map<VmId, Instant> missingSince = new HashMap<>();
    private final Map<WorkspaceId, Set<VmId>> shareHolders = new HashMap<>();
    private final Map<WorkspaceId, VmId> designatedOwners = new HashMap<>();
    private Set<VmId> listedRouters = Set.of();
    private Set<VmId> holderCandidates = Set.of();
    private boolean everListed;
    private Instant lastReadAt;
    private Instant readNeededSince = Instant.MIN;
    private Instant lastContactAt = Instant.MIN;
    private Instant lastRunAt;

    SpendingPermission(VmId self, RateSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Records that this process runs, and detects whether it was frozen until now. */
    void recordRunning(Instant now) {
        if (lastRunAt != null && now.isAfter(lastRunAt.plus(settings.freezeThreshold()))) {
            readNeededSince = now;
        }
        lastRunAt = now;
    }

    void recordRead(Instant requestedAt, Instant now) {
        lastReadAt = requestedAt;
        lastContactAt = now;
    }

    void recordContact(VmId other, Instant now) {
        lastContactAt = now;
        missingSince.remove(other);
    }

    void updateRouters(Set<VmId> routers, Set<VmId> candidates, Instant now) {
        if (!routers.equals(listedRouters) || !candidates.equals(holderCandidates)) {
            listedRouters = routers;
            holderCandidates = candidates;
            shareHolders.clear();
            designatedOwners.clear();
        }
        if (routers.contains(self)) {
            everListed = true;
            lastContactAt = now;
        }
        missingSince.keySet().removeAll(routers);
    }

    /**
     * Returns whether this router has not read the store since its start, and so can have no share.
     */
    boolean neverRead() {
        return lastReadAt == null;
    }

    /** Returns the other routers on the list, in order. */
    List<VmId> otherRouters() {
        return listedRouters.stream().filter(vm -> !vm.equals(self)).sorted().toList();
    }

    /**
     * Returns the routers that should hold shares of the workspace according to the list. The
     * result is cached until the list changes, because it is used at every tick.
     */
    Set<VmId> shareHolders(WorkspaceId workspace) {
        return shareHolders.computeIfAbsent(workspace, this::selectShareHolders);
    }

    /** Returns whether this router should own the workspace; false as long as there is no list. */
    boolean isDesignatedOwner(WorkspaceId workspace) {
        return !listedRouters.isEmpty()
                && designatedOwners
                        .computeIfAbsent(workspace, id -> ShareHolders.owner(id, candidates()))
                        .equals(self);
    }

    /** Returns the other routers that should hold shares of the workspace, the owner first. */
    List<VmId> otherShareHolders(WorkspaceId workspace) {
        return ShareHolders.ownerFirst(workspace, shareHolders(workspace)).stream()
                .filter(vm -> !vm.equals(self))
                .toList();
    }

    private Set<VmId> selectShareHolders(WorkspaceId workspace) {
        return ShareHolders.select(workspace, candidates(), routers().size());
    }

    /**
     * Returns this router's position among those that should hold shares of the workspace, which is
     * 0 for the owner; empty if it should hold none.
     */
    OptionalInt holderRank(WorkspaceId workspace) {
        int rank = ShareHolders.ownerFirst(workspace, shareHolders(workspace)).indexOf(self);
        return rank < 0 ? OptionalInt.empty() : OptionalInt.of(rank);
    }

    /** Returns the number of routers according to the list, including this one. */
    int routerCount() {
        return listedRouters.contains(self) ? listedRouters.size() : listedRouters.size() + 1;
    }

    // A router that is not listed yet counts itself, unless the candidates are only some of the
    // routers.
    private Set<VmId> candidates() {
        boolean all = holderCandidates.size() == listedRouters.size();
        return all ? routers() : holderCandidates;
    }

    private Set<VmId> routers() {
        Set<VmId> all = new HashSet<>(listedRouters);
        all.add(self);
        return all;
    }

    /**
     * Returns whether this incarnation may now spend its share of the workspace, and what it
     * borrows.
     */
    boolean maySpend(WorkspaceAccount account, Incarnation incarnation, Instant now) {
        if (account.row == null) {
            return neverRead();
        }
        ShareTable table = account.row.table();
        boolean marked =
                table.share(incarnation).filter(share -> !share.mark().isEmpty()).isPresent();
        return !marked && isConfirmed(table.shares().size() <= 1, now);
    }

    /** Returns whether shares may be spent; {@code alone} says that no other router has any. */
    private boolean isConfirmed(boolean alone, Instant now) {
        if (lastReadAt == null
                || lastReadAt.isBefore(readNeededSince)
                || !now.isBefore(lastReadAt.plus(settings.readValidity()))) {
            return false;
        }
        if (alone) {
            return true;
        }
        boolean delisted = everListed && !listedRouters.contains(self);
        return !delisted && now.isBefore(lastContactAt.plus(settings.isolationLimit()));
    }

    /** Returns whether the store was read recently enough to decide on a write. */
    boolean isReadRecent(Instant now) {
        return lastReadAt != null
                && !lastReadAt.isBefore(readNeededSince)
                && now.isBefore(lastReadAt.plus(settings.isolationLimit()));
    }

    /** Returns whether that router has been off the list and silent for long enough. */
    boolean seemsGone(VmId other, Instant now) {
        if (listedRouters.isEmpty() || listedRouters.contains(other)) {
            return false;
        }
        Instant since = missingSince.computeIfAbsent(other, vm -> now);
        return !now.isBefore(since.plus(settings.goneAfter()));
    }
}
