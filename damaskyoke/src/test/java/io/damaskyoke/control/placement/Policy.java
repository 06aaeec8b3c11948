package io.damaskyoke.control.placement;

/** How the world of a test decides who loads what; all but the first are naive. */
public enum Policy {
    /** Rights by compare and swap, moved on evidence only. */
    OURS,
    /** Each router takes the first of the VMs that it sees, and agents load what they are asked. */
    OWN_VIEW,
    /** Rights, but one is taken as soon as its VM has been off the list for a while. */
    TIMEOUT_ONLY,
    /** Rights, but one is handed back when asked for, without looking at the engine. */
    BLIND_RELEASE
}
