/** Which processes read the configuration from the store, and how the others get it from them. */
package io.damaskyoke.control.relay;
