/** The router process, which admits requests from callers and forwards them to agents. */
package io.damaskyoke.router;
