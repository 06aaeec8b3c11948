/**
 * HTTP/1.1 for small VMs, on Netty: one server, and one client that keeps connections. Everything
 * runs on the one event loop that is handed in; nothing here blocks.
 */
package io.damaskyoke.http;
