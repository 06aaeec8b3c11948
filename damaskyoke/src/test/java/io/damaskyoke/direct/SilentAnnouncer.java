package io.damaskyoke.direct;

/** Announces no limits, as there is no other router. */
final class SilentAnnouncer implements DeclaredLimits.Announcer {
    @Override
    public void announceLimit(DeclaredLimits.Announcement announcement) {
        // No other router.
    }

    @Override
    public void forwardLimit(DeclaredLimits.Announcement announcement) {
        // No other router.
    }
}
