/** Selection of an agent for each request, and the retries when it can't serve the request. */
package io.damaskyoke.control.routing;
