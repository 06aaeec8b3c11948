/** The platform, as a peer: its key-value service and its list of VMs. */
package io.damaskyoke.platform;
