/**
 * An HTTP/1.1 server and a pooling client for small VMs, on Netty. All work runs on the event loop
 * that is passed in; nothing here blocks.
 */
package io.damaskyoke.http;
