package io.damaskyoke.control.configuration;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;

/** One object of a ticket with its whole new state, or its removal. */
public sealed interface Change {
    /** What is changed, as {@code kind/name}: {@code workspace/kitchens}. */
    String object();

    /** Sets a workspace. */
    record SetWorkspace(Workspace workspace) implements Change {
        @Override
        public String object() {
            return "workspace/" + workspace.id();
        }
    }

    /** Removes a workspace. */
    record RemoveWorkspace(WorkspaceId id) implements Change {
        @Override
        public String object() {
            return "workspace/" + id;
        }
    }

    /** Grants or withdraws a caller key. */
    record SetKey(CallerKey key) implements Change {
        @Override
        public String object() {
            return "key/" + key.id();
        }
    }

    /** Sets a model or an adapter. */
    record SetModel(Model model) implements Change {
        @Override
        public String object() {
            return "model/" + model.name();
        }
    }

    /** Removes a model or an adapter. */
    record RemoveModel(ModelName name) implements Change {
        @Override
        public String object() {
            return "model/" + name;
        }
    }

    /** Sets a plain service. */
    record SetService(Service service) implements Change {
        @Override
        public String object() {
            return "service/" + service.name();
        }
    }

    /** Removes a plain service. */
    record RemoveService(ServiceName name) implements Change {
        @Override
        public String object() {
            return "service/" + name;
        }
    }
}
