/**
 * A router that reaches upstreams itself, with no agent beside them: callers come in, are checked
 * against what operators have set, wait if they must, and go to the upstream that answers first.
 *
 * <p>How things are called on the wire and in the store is a {@link Dialect}'s business, which the
 * deployment brings along.
 */
package io.damaskyoke.direct;
