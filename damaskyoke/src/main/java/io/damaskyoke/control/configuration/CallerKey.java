package io.damaskyoke.control.configuration;

import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.WorkspaceId;

/**
 * A caller key as it is stored: its hash, never its plain text.
 *
 * @param id the public name of the key
 * @param workspace the workspace that requests with this key are attributed to
 * @param hash the keyed hash of the caller key, see {@link KeyHasher}
 * @param granted whether the key is valid; false once it is withdrawn
 */
public record CallerKey(KeyId id, WorkspaceId workspace, String hash, boolean granted) {}
