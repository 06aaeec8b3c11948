/** Lines of log that never make a process wait. */
package io.damaskyoke.log;
