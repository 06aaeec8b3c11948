package io.damaskyoke.control.configuration;

import io.damaskyoke.control.configuration.TicketException.Code;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Validates a ticket against the configuration it is to change. */
final class TicketValidator {
    private final Configuration before;
    private final Ticket ticket;
    private final ConfigurationDraft after;

    private TicketValidator(Configuration before, Ticket ticket) {
        this.before = before;
        this.ticket = ticket;
        this.after = ConfigurationDraft.of(before);
    }

    /** Throws a {@link TicketException} if the ticket is not valid on top of this configuration. */
    static void check(Configuration before, Ticket ticket) {
        new TicketValidator(before, ticket).check();
    }

    private void check() {
        ticket.changes().forEach(this::checkNewest);
        checkKeysDiffer();
        after.apply(ticket, before.sequence() + 1);
        ticket.changes().forEach(this::checkReferences);
    }

    private void checkNewest(ConfigurationChange change) {
        long last = before.lastTicket().getOrDefault(change.objectId(), 0L);
        if (last >= ticket.number()) {
            throw new TicketException(
                    Code.OUTDATED,
                    change.objectId()
                            + " was set by ticket "
                            + last
                            + ", which is not older than "
                            + ticket.number());
        }
    }

    /**
     * Checks that no two ids have the same caller key. They would overwrite each other, and after
     * one was withdrawn the caller would still have access through the other.
     */
    private void checkKeysDiffer() {
        Set<String> seen = new HashSet<>();
        for (ConfigurationChange change : ticket.changes()) {
            if (change instanceof ConfigurationChange.SetKey set) {
                CallerKey key = set.key();
                boolean taken =
                        before.findKey(key.hash())
                                .filter(k -> !k.id().equals(key.id()))
                                .isPresent();
                if (taken || !seen.add(key.hash())) {
                    throw new TicketException(
                            Code.KEY_TAKEN,
                            change.objectId() + " has the caller key of another id");
                }
            }
        }
    }

    private void checkReferences(ConfigurationChange change) {
        String object = change.objectId();
        if (change instanceof ConfigurationChange.SetKey set) {
            require(
                    after.workspaces.containsKey(set.key().workspace()),
                    object,
                    "workspace/" + set.key().workspace());
        } else if (change instanceof ConfigurationChange.SetModel set) {
            checkModel(object, set.model());
        } else if (change instanceof ConfigurationChange.SetService set) {
            checkWorkspaces(object, set.service().workspaces());
        } else if (change instanceof ConfigurationChange.RemoveWorkspace remove) {
            require(
                    before.workspaces().containsKey(remove.id()),
                    "ticket " + ticket.number(),
                    object);
            checkUnused(object, remove.id());
        } else if (change instanceof ConfigurationChange.RemoveModel remove) {
            require(
                    before.models().containsKey(remove.name()),
                    "ticket " + ticket.number(),
                    object);
            checkNoAdapters(object, remove.name());
        } else if (change instanceof ConfigurationChange.RemoveService remove) {
            require(
                    before.services().containsKey(remove.name()),
                    "ticket " + ticket.number(),
                    object);
        }
    }

    private void checkModel(String object, Model model) {
        checkWorkspaces(object, model.workspaces());
        if (model.base().isEmpty()) {
            return;
        }
        Model base = after.models.get(model.base().get());
        require(base != null, object, "model/" + model.base().get());
        if (base.base().isPresent()) {
            throw new TicketException(
                    Code.BAD_VALUE, object + ": its base " + base.name() + " is an adapter itself");
        }
        checkNoAdapters(object, model.name());
    }

    private void checkWorkspaces(String object, Collection<WorkspaceId> ids) {
        ids.forEach(id -> require(after.workspaces.containsKey(id), object, "workspace/" + id));
    }

    private void checkUnused(String object, WorkspaceId id) {
        boolean used =
                after.keys.values().stream().anyMatch(k -> k.granted() && k.workspace().equals(id))
                        || after.models.values().stream().anyMatch(m -> m.workspaces().contains(id))
                        || after.services.values().stream()
                                .anyMatch(s -> s.workspaces().contains(id));
        if (used) {
            throw new TicketException(
                    Code.IN_USE, object + " still has granted keys, models or services");
        }
    }

    private void checkNoAdapters(String object, ModelName name) {
        boolean used =
                after.models.values().stream().anyMatch(m -> m.base().equals(Optional.of(name)));
        if (used) {
            throw new TicketException(Code.IN_USE, object + " still has adapters");
        }
    }

    private static void require(boolean exists, String referrer, String target) {
        if (!exists) {
            throw new TicketException(
                    Code.UNKNOWN_OBJECT,
                    referrer + " refers to " + target + ", which does not exist");
        }
    }
}
