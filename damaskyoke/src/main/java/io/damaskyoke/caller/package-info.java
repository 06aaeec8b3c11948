/** Callers, as peers: the OpenAI HTTP API and plain services. */
package io.damaskyoke.caller;
