package io.damaskyoke.control.configuration;

import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.WorkspaceId;

/**
 * A caller key as it is kept: by its hash, never by its text.
 *
 * @param id its public name
 * @param workspace the workspace that requests with this key run for
 * @param hash see {@link KeyHasher}
 * @param granted false once withdrawn
 */
public record CallerKey(KeyId id, WorkspaceId workspace, String hash, boolean granted) {}
