/**
 * Keeps up with what the platform's store holds, and knows at each moment how old that knowledge
 * is.
 */
package io.damaskyoke.follow;
