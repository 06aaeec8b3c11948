package io.damaskyoke.control.configuration;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;

/** A change to one object of the configuration: its complete new state, or its removal. */
public sealed interface ConfigurationChange {
    /**
     * Returns the identifier of the changed object as {@code kind/name}, for example {@code
     * workspace/kitchens}.
     */
    String objectId();

    /** Creates or replaces a workspace. */
    record SetWorkspace(Workspace workspace) implements ConfigurationChange {
        @Override
        public String objectId() {
            return "workspace/" + workspace.id();
        }
    }

    /** Removes a workspace. */
    record RemoveWorkspace(WorkspaceId id) implements ConfigurationChange {
        @Override
        public String objectId() {
            return "workspace/" + id;
        }
    }

    /** Grants or withdraws a caller key. */
    record SetKey(CallerKey key) implements ConfigurationChange {
        @Override
        public String objectId() {
            return "key/" + key.id();
        }
    }

    /** Creates or replaces a model or an adapter. */
    record SetModel(Model model) implements ConfigurationChange {
        @Override
        public String objectId() {
            return "model/" + model.name();
        }
    }

    /** Removes a model or an adapter. */
    record RemoveModel(ModelName name) implements ConfigurationChange {
        @Override
        public String objectId() {
            return "model/" + name;
        }
    }

    /** Creates or replaces a plain service. */
    record SetService(Service service) implements ConfigurationChange {
        @Override
        public String objectId() {
            return "service/" + service.name();
        }
    }

    /** Removes a plain service. */
    record RemoveService(ServiceName name) implements ConfigurationChange {
        @Override
        public String objectId() {
            return "service/" + name;
        }
    }
}
