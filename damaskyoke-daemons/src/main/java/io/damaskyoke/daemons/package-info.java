/** The command line: starts the daemons and is the operators' client. */
package io.damaskyoke.daemons;
