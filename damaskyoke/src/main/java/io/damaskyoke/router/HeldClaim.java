package io.damaskyoke.router;

import io.damaskyoke.control.claims.ClaimRecord;

/**
 * A claim of this router, as stored.
 *
 * @param key the key in the store
 * @param record the value stored there
 * @param revision the store revision at which the claim was last written
 * @param lease the store lease under which the claim is kept
 */
record HeldClaim(String key, ClaimRecord record, long revision, long lease) {}
