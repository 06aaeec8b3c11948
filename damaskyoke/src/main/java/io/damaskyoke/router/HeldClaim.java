package io.damaskyoke.router;

import io.damaskyoke.control.claims.ClaimRecord;

/**
 * A claim of this router as it stands in the store.
 *
 * @param key of the store
 * @param record what stands there
 * @param revision since when
 * @param lease under which it is kept
 */
record HeldClaim(String key, ClaimRecord record, long revision, long lease) {}
