/** Which agent gets a request, and what is done when it can't serve it. */
package io.damaskyoke.control.routing;
