package io.damaskyoke.mixed;

/** What can go wrong in a mixed world; each begins at a target and ends after some steps. */
enum Fault {
    /** The store refuses every call. */
    STORE_OUT {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.store().down(true);
        }

        @Override
        void end(MixedWorld world, int target) {
            world.store().down(false);
        }
    },
    /** Calls take effect only when it ends, long after they were given up. */
    STORE_SLOW {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.store().slow(true);
        }

        @Override
        void end(MixedWorld world, int target) {
            world.store().release();
        }
    },
    /** Writes take effect, and nobody hears of it. */
    ANSWERS_LOST {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.store().loseAnswers(1 + steps / 8);
        }

        @Override
        void end(MixedWorld world, int target) {
            world.store().loseAnswers(0);
        }
    },
    /** An engine's VM goes and comes back empty. */
    VM_LOST {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.loseVm(target, steps);
        }
    },
    /** An agent dies beside its engine, in the middle of whatever it has ordered. */
    AGENT_KILLED {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.killAgent(target);
        }
    },
    /** The list leaves out a VM that lives. */
    VM_MISLAID {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.mislay(target, true);
        }

        @Override
        void end(MixedWorld world, int target) {
            world.mislay(target, false);
        }
    },
    /** A router stops and goes on where it was, with answers and proposals in its hands. */
    ROUTER_FROZEN {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.freezeRouter(target, steps);
        }
    },
    /** A router's VM goes and comes back as a new incarnation. */
    ROUTER_LOST {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.loseRouter(target, steps);
        }
    },
    /** Operators send tickets about the same objects to every router at once. */
    OPERATORS_RACE {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.raceOperators();
        }
    },
    /** Messages between routers are late, doubled and lost more than usual. */
    MESSAGES_BAD {
        @Override
        void begin(MixedWorld world, int target, int steps) {
            world.messages().bad(true);
        }

        @Override
        void end(MixedWorld world, int target) {
            world.messages().bad(false);
        }
    };

    abstract void begin(MixedWorld world, int target, int steps);

    void end(MixedWorld world, int target) {}
}
