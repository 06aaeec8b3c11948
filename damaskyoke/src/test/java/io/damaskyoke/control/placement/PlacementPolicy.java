package io.damaskyoke.control.placement;

/** How a simulation decides which VM loads what; all but the first are naive. */
public enum PlacementPolicy {
    /** Grants changed by compare-and-swap, and moved only on evidence. */
    CONFIRMED_GRANTS,
    /**
     * Each router takes the first of the VMs that it sees, and agents load what they are asked to
     * load.
     */
    OWN_VIEW,
    /** Grants, but one is revoked as soon as its VM has been off the list for a while. */
    TIMEOUT_ONLY,
    /** Grants, but one is released when asked for, without checking the engine. */
    UNCHECKED_RELEASE
}
