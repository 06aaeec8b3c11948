/** The order of waiting requests, and the forecast of their wait. */
package io.damaskyoke.control.waiting;
