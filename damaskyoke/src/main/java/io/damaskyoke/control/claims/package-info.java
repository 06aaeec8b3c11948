/** Claims on idempotency keys, by which a non-idempotent request runs at most once. */
package io.damaskyoke.control.claims;
