/** Claims on idempotency keys: how a non-idempotent request runs at most once in the fleet. */
package io.damaskyoke.control.claims;
