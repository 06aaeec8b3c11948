package io.damaskyoke.exchange;

import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.apache.pekko.util.ByteString;

/**
 * A caller's request after its key was checked. It holds the id of that key, never the key.
 *
 * @param id unique in the fleet
 * @param workspace the workspace of the key that came with the request
 * @param key the id of that key, so that a waiting request can be refused once the key is withdrawn
 * @param target the requested model or service
 * @param method the HTTP method for the upstream
 * @param path path and query as the upstream gets them
 * @param headers headers that may be passed on; never {@code Authorization}
 * @param body the whole body, within the limit of the settings
 * @param deadline when the caller stops waiting for the answer, on this process's monotonic clock
 * @param idempotencyKey the caller's key that identifies a non-idempotent request
 * @param idempotent whether the request may be run again
 * @param tokens the estimated tokens charged at admission
 */
public record Request(
        ExchangeId id,
        WorkspaceId workspace,
        KeyId key,
        Target target,
        String method,
        String path,
        List<Header> headers,
        ByteString body,
        Instant deadline,
        Optional<IdempotencyKey> idempotencyKey,
        boolean idempotent,
        long tokens) {
    /** Returns true for a non-idempotent request with a key, which is claimed before it is sent. */
    public boolean claimable() {
        return !idempotent && idempotencyKey.isPresent();
    }

    /** Copies the headers, so that the request cannot change while it is processed. */
    public Request {
        headers = List.copyOf(headers);
    }
}
