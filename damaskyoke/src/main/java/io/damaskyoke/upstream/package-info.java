/** The model engine or plain service beside an agent, as a peer. */
package io.damaskyoke.upstream;
